package gateway

import (
	"time"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/pkg/declaration"
)

// addDemand adds the demand of the services for which requests wait.
func (s *state) addDemand(n *peering.News, now time.Duration) {
	for _, service := range s.queue.Pools() {
		if len(n.Demand.Services) == peering.MaxDemandServices {
			return
		}
		d := peering.ServiceDemand{Service: service, DispatchRate: s.dispatchesPerSecond(service, now)}
		for _, c := range s.queue.Classes(service) {
			if len(d.Classes) < peering.MaxDemandClasses {
				d.Classes = append(d.Classes, peering.ClassDemand{Account: c.Account, Priority: rankOf(c.Priority), Accounts: 1, Waiting: float32(c.Requests)})
			}
		}
		n.Demand.Services = append(n.Demand.Services, d)
	}
}

// dispatchesPerSecond returns the rate at which requests leave the queue for a service
// with a target; 0 if unknown.
func (s *state) dispatchesPerSecond(service string, now time.Duration) float32 {
	wait, known := s.dispatchRate(service).EstimateWait(1, bootTime(now))
	if !known || wait <= 0 {
		return 0
	}
	return float32(1 / wait.Seconds())
}

// rankOf returns the rank, 0 for the most urgent, of a priority in the queue.
func rankOf(priority int) int { return declaration.MaxPriority - priority }

// mergeDemand merges the demand that a peer reports, unless it is invalid.
func (s *state) mergeDemand(n *peering.News, now time.Duration) {
	if err := n.Demand.Check(); err != nil {
		n.Demand = peering.DemandNews{}
	}
}
