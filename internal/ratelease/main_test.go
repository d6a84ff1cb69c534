package ratelease

import (
	"testing"

	_ "pgregory.net/rapid" // registers the flag

	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, propertytest.DefaultChecks) }
