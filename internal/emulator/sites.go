package emulator

// SfaxSite returns the site of the Sfax example deployment with the given number of
// daemons per failure domain.
func SfaxSite(daemons int) Site {
	return Site{
		Domains: []Domain{
			{Name: "sfax-a", Region: "tn-sfax", Daemons: daemons},
			{Name: "tunis-a", Region: "tn-tunis", Daemons: daemons},
			{Name: "marseille-a", Region: "fr-marseille", Daemons: daemons},
		},
		Workloads: []Workload{
			{Service: "pad-finder", Shards: 10, Replicas: 3, Slots: 5, ConnectionLimit: 90, ConnectionCostMillis: 6, ServiceMillis: 4},
			{Service: "reseller-feed", Shards: 15, Replicas: 3, Slots: 5, ConnectionLimit: 90, ConnectionCostMillis: 6, ServiceMillis: 4},
			{Service: "order-desk", Shards: 1, Replicas: 25, Slots: 3, ConnectionLimit: 250, ConnectionCostMillis: 1, ServiceMillis: 2},
			{Service: "returns-desk", Shards: 1, Replicas: 15, Slots: 3, ConnectionLimit: 250, ConnectionCostMillis: 1, ServiceMillis: 2},
		},
	}
}

// OlwynSite returns the site of the Olwyn example deployment with the given number of
// daemons per failure domain.
func OlwynSite(daemons int) Site {
	return Site{
		Domains: []Domain{
			{Name: "caerdydd-a", Region: "de-cymru", Daemons: daemons},
			{Name: "bangor-a", Region: "gogledd", Daemons: daemons},
			{Name: "aberyst-a", Region: "canolbarth", Daemons: daemons},
		},
		Workloads: []Workload{
			{Service: "parts-finder", Shards: 10, Replicas: 3, Slots: 2, ConnectionLimit: 55, ConnectionCostMillis: 6, ServiceMillis: 4},
			{Service: "stock-ledger", Shards: 15, Replicas: 3, Slots: 2, ConnectionLimit: 55, ConnectionCostMillis: 6, ServiceMillis: 4},
			{Service: "bookings", Shards: 1, Replicas: 5, Slots: 6, ConnectionLimit: 100, ConnectionCostMillis: 1, ServiceMillis: 2},
			{Service: "invoicing", Shards: 1, Replicas: 3, Slots: 6, ConnectionLimit: 100, ConnectionCostMillis: 1, ServiceMillis: 2},
		},
	}
}
