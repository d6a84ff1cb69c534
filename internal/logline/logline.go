package logline

import "k8s.io/klog/v2"

// Info writes one event line: the event's name, then key and value pairs.
func Info(event string, keyvals ...any) {
	klog.InfoSDepth(1, event, keyvals...)
}

// Error writes one event line with the error that caused it.
func Error(err error, event string, keyvals ...any) {
	klog.ErrorSDepth(1, err, event, keyvals...)
}
