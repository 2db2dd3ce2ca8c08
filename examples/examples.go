// Package examples embeds the example declarations and settings, which the demo,
// the benchmark and the tests use.
package examples

import _ "embed"

// Sfax and Olwyn are the declarations of the two example deployments; Settings is
// an example settings file.
var (
	//go:embed sfax.jsonc
	Sfax []byte
	//go:embed olwyn.jsonc
	Olwyn []byte
	//go:embed settings.jsonc
	Settings []byte
)
