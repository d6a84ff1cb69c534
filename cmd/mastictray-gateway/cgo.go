package main

// The instances run programs that are linked against the system's C library.

// #include <stdlib.h>
import "C"
