package logger

import (
	"flag"

	"k8s.io/klog/v2"
)

// Attach makes klog write each line to w once. By default it writes a line of an error to the
// output of each lower severity, too.
func Attach(w *Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("one_output", "true"); err != nil {
		return err
	}
	klog.LogToStderr(false)
	klog.SetOutput(w)
	return nil
}
