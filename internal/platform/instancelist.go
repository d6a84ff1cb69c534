package platform

import (
	"encoding/json"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/responsecheck"
)

// listDecoder decodes an instance list token by token: decoding it as one value would fail for all
// entries because of one that has another type or is nested too deeply.
type listDecoder struct {
	*json.Decoder
	// odd is called for each entry that is skipped.
	odd func(index int, err error)
}

// decodeInstanceList decodes an instance list. Entries that describe no instance are skipped.
func decodeInstanceList(r io.Reader, odd func(index int, err error)) (list InstanceList, err error) {
	d := &listDecoder{json.NewDecoder(r), odd}
	d.UseNumber()
	if open, err := d.Token(); err != nil || open != json.Delim('{') {
		return list, errors.Newf("instance list begins with %v, error %v", open, err)
	}
	hasInstances := false
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return list, err
		}
		switch key {
		case "as_of_ms":
			list.AsOf, err = d.time()
		case "instances":
			hasInstances = true
			list.Instances, err = d.instances()
		default:
			_, err = d.value()
		}
		if err != nil {
			return list, errors.Wrapf(err, "field %v", key)
		}
	}
	if _, err := d.Token(); err != nil {
		return list, err
	}
	if !hasInstances {
		return list, errors.New("no instances")
	}
	return list, responsecheck.EndOfJSON(d.Decoder)
}

func (d *listDecoder) time() (time.Time, error) {
	token, err := d.Token()
	if err != nil {
		return time.Time{}, err
	}
	number, ok := token.(json.Number)
	if !ok {
		return time.Time{}, errors.Newf("%v is no number", token)
	}
	ms, err := number.Int64()
	return time.UnixMilli(ms), err
}

func (d *listDecoder) instances() (out []Instance, err error) {
	open, err := d.Token()
	if err != nil || open == nil { // null
		return nil, err
	}
	if open != json.Delim('[') {
		return nil, errors.Newf("%v is no list", open)
	}
	for index := 0; d.More(); index++ {
		fields, err := d.value()
		if err != nil {
			return nil, err
		}
		instance, err := newInstance(fields)
		if err != nil {
			d.odd(index, err)
			continue
		}
		out = append(out, instance)
	}
	_, err = d.Token()
	return out, err
}

// value reads the next value, and returns the strings among the fields if it is an object.
func (d *listDecoder) value() (fields map[string]string, err error) {
	token, err := d.Token()
	if _, composite := token.(json.Delim); err != nil || !composite {
		return nil, err
	}
	isObject := token == json.Delim('{')
	if isObject {
		fields = map[string]string{}
	}
	key, isKey := "", isObject
	for depth := 1; depth > 0; {
		if token, err = d.Token(); err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
			continue
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth != 1 || !isObject {
			continue
		}
		text, isString := token.(string)
		switch {
		case isKey:
			key = text
		case isString:
			fields[key] = text
		}
		isKey = !isKey
	}
	return fields, nil
}

// newInstance returns the instance that an entry's fields describe.
func newInstance(fields map[string]string) (Instance, error) {
	i := Instance{
		ID: fields["id"], Address: fields["address"], Domain: fields["domain"],
		Role: InstanceRole(fields["role"]), State: InstanceState(fields["state"]),
	}
	if i.ID == "" {
		return i, errors.New("no id")
	}
	_, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return i, errors.Wrapf(err, "address of %q", i.ID)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return i, errors.Newf("address of %q: port %q", i.ID, port)
	}
	return i, nil
}
