package logline

import "k8s.io/klog/v2"

// Info writes the line of an event: its name, then the key and value pairs.
func Info(event string, keyvals ...any) {
	klog.InfoSDepth(1, event, keyvals...)
}

// Error writes the line of an event with the error that caused it.
func Error(err error, event string, keyvals ...any) {
	klog.ErrorSDepth(1, err, event, keyvals...)
}
