package declarer

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// RoleLabel is the label that distinguishes entry VMs from backend servers.
const RoleLabel = "role"

// RoleEntry is the value of RoleLabel for a VM that runs a daemon.
const RoleEntry = "entry"

// VM is one virtual machine on the platform's list.
type VM struct {
	Name string `json:"name"`
	// Address is an IP address and port: that of the searcher on a backend
	// server, and the peer address on an entry VM.
	Address       string            `json:"address"`
	FailureDomain string            `json:"failureDomain"`
	Region        string            `json:"region"`
	State         VMState           `json:"state"`
	Labels        map[string]string `json:"labels"`
}

// VMList is the platform's list of VMs, which may be out of date.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Object is an object in the platform's Object API.
type Object struct {
	Name string `json:"name"`
	// Version counts the writes to the object; zero means that the object does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}
