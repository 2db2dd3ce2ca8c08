// Package examples embeds the example declarations, which the demo, the bench
// and the tests use.
package examples

import _ "embed" // for the files below

// Sfax and Olwyn are the declarations of the two deployments.
var (
	//go:embed sfax.jsonc
	Sfax []byte
	//go:embed olwyn.jsonc
	Olwyn []byte
	//go:embed settings.jsonc
	Settings []byte
)
