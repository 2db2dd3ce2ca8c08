package declarer

// VMState is the state of a VM as the platform lists it.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// RoleLabel is the label that tells entry VMs from backend servers.
const RoleLabel = "role"

// RoleEntry is the role of a VM that runs a daemon.
const RoleEntry = "entry"

// VM is one machine on the platform's list.
type VM struct {
	Name string `json:"name"`
	// Address is an IP address and port: the searcher's for a backend server,
	// the peer address for an entry VM.
	Address       string            `json:"address"`
	FailureDomain string            `json:"failureDomain"`
	Region        string            `json:"region"`
	State         VMState           `json:"state"`
	Labels        map[string]string `json:"labels"`
}

// VMList is the platform's list, which may lag.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Object is one value in the platform's Object API.
type Object struct {
	Name string `json:"name"`
	// Version counts the writes to the object; zero means that it does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}
