package main

// Importing C links the program against the system's C library, as the platform's
// instances require.

// #include <stdlib.h>
import "C"
