package fairshare

import (
	"math"
	"slices"
	"time"

	"lovageport.example/internal/protocol/peering"
)

const (
	// scarcityTime is how long a service counts as short of room after a request
	// lacked it.
	scarcityTime = 3 * time.Second
	// reportTime is how long demand is reported, and the estimate of the capacity
	// kept, after the service was last short of room.
	reportTime = 10 * time.Second
	// demandTime is the time constant of the average demand of a class. Counts over
	// 100 ms are noise, and load may change by half within 15 s.
	demandTime = 2 * time.Second
	// reserve is the part of the average demand of a class that is kept for it while it
	// uses less. Keeping all of it leaves more of the capacity unused without starting
	// requests of small accounts sooner.
	reserve = 0.7
	// refusedTime is the time constant with which refused requests cease to count as
	// demand. Refused callers return after 0.2 to 3 s.
	refusedTime = time.Second
	// maxFullAge is the age up to which a lack of room says that the present usage is
	// the capacity.
	maxFullAge = 500 * time.Millisecond
	// riseTime and fallTime are the time constants of the estimate of the capacity.
	// Peers' usage is known with a lag, so that the sum varies. An estimate that rises
	// as slowly as it falls leaves capacity unused.
	riseTime = 300 * time.Millisecond
	fallTime = 2 * time.Second
	// wastedTime is the time constant of the average of the requests in flight that
	// upstreams refuse.
	wastedTime = 500 * time.Millisecond
	// capacitySamples is the number of samples of the total usage of which the estimate
	// follows the lower quartile. A place that passes from one gateway to another is
	// counted at both until the next report.
	capacitySamples = 5
	// peakTime is the time constant of the peak usage that bounds the estimate from
	// below.
	peakTime = 15 * time.Second
	// peakPart is the part of the peak usage that is that bound. A request that lacks
	// room only because of its size would otherwise lower the estimate.
	peakPart = 0.5
	// linearGrowth and squareGrowth are the parts by which the estimate grows with the
	// seconds, and with their square, since a request last lacked room. Without that,
	// classes would stay limited after capacity was added.
	linearGrowth = 0.1
	squareGrowth = 0.05
	// growthRate is the part of the estimate by which it grows per second after
	// growthStart without lack of room, up to growthLead times the usage. Between zones
	// that report every 800 ms, there is none for up to a second although all is used.
	growthStart = 1500 * time.Millisecond
	growthRate  = 0.5
	growthLead  = 1.3
	// epoch is the time for which a gateway rounds the limit of a class up or down to
	// whole requests.
	epoch = time.Second
	// isolatedTime is the time constant with which a gateway without peers changes
	// from its last share of the capacity to an equal part of its zone's.
	isolatedTime = 5 * time.Second
	// maxReportAge is the age at which a report no longer counts. Peers that are
	// alive report more often.
	maxReportAge = 5 * time.Second
	// refreshInterval is the shortest interval between two computations of the
	// shares. It increases with the number of reports, in steps of refreshSources,
	// so that the cost per second does not.
	refreshInterval = 100 * time.Millisecond
	refreshSources  = 16
	// largeCost is the factor by which the cost of a large request exceeds the mean.
	largeCost = 2
	// maxClasses bounds the classes that a gateway counts separately.
	maxClasses = 4096
	// minAmount is the cost below which demand counts as none.
	minAmount = 0.01
)

// Service divides the capacity of one service, as seen by one gateway. The zero value
// has no demand and limits nothing. It is not safe for concurrent use.
type Service struct {
	// Self identifies this gateway.
	Self string

	own     map[Class]*usage
	reports map[string]*report
	// fullAt is when a request here last lacked room, and scarceUntil until when the
	// service counts as short of room according to all gateways.
	fullAt, scarceUntil time.Duration
	// meanCost is a moving average of the cost of a request.
	meanCost float64

	refreshedAt time.Duration
	// capacity is the estimated cost of the requests that the service can run at
	// once; 0 if unknown. peak is the decaying peak of the total usage.
	capacity, peak float64
	// samples holds the total usage at the last computations after a lack of room.
	samples []float64
	// fullSeen is the latest lack of room that the estimate contains.
	fullSeen time.Duration
	// wasted is a moving average of the cost of requests in flight that upstreams
	// refuse.
	wasted   float64
	wastedAt time.Duration
	// equalPart is the capacity that a gateway without peers tends to; 0 with peers.
	equalPart float64
	// demands holds the classes of all gateways at the last computation.
	demands map[Class]*demand
	// merged is the memory of demands, which is used again.
	merged []demand
	// limiting is set if a class is limited.
	limiting bool
	// limits holds what the limited classes may use at this gateway.
	limits map[Class]float64
	// held holds the classes of which requests were held back, with the time at which
	// they were last limited.
	held map[Class]*hold
}

// usage is what a class uses and wants at this gateway.
type usage struct {
	used          float64
	requests      int
	waiting       float64
	waitingNumber int
	refused       float64
	// mean is the moving average of what is used, waits and was refused. demand is
	// the present sum, but no less than the reserved part of the mean.
	mean, demand float64
	updatedAt    time.Duration
}

// update brings the decaying values up to date.
func (u *usage) update(now time.Duration) {
	if elapsed := now - u.updatedAt; elapsed > 0 {
		u.refused *= decay(elapsed, refusedTime)
		present := u.used + u.waiting + u.refused
		u.mean = present + (u.mean-present)*decay(elapsed, demandTime)
		u.updatedAt = now
	}
	u.demand = max(u.mean*reserve, u.used+u.waiting+u.refused)
}

// decay returns the factor by which a value has decreased.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}

// report is what a peer, or another zone, has reported.
type report struct {
	ownZone bool
	at      time.Duration
	// fullAt is when a request there last lacked room; 0 if not recently.
	fullAt time.Duration
	demand peering.ServiceDemand
}

// hold is a class of which requests were held back.
type hold struct {
	// limitedAt is when the class was last limited, and reported is set once [Service.Refresh]
	// has returned that it is.
	limitedAt time.Duration
	reported  bool
}

// Change says that a class has begun or ceased to be limited at this gateway.
type Change struct {
	Class   Class
	Limited bool
	// Reason is that of [Service.Reason].
	Reason string
	// Capacity is the estimated capacity of the service. Share, Used and Demand are
	// those of the class at all gateways.
	Capacity, Share, Used, Demand float64
	// Reports is the number of reports used, and Oldest the age of the oldest one.
	Reports int
	Oldest  time.Duration
}

func (s *Service) usageOf(c Class) *usage {
	if u := s.own[c]; u != nil {
		return u
	}
	if s.own == nil {
		s.own = make(map[Class]*usage)
	}
	if len(s.own) >= maxClasses {
		c = Class{Priority: c.Priority, Others: true}
		if u := s.own[c]; u != nil {
			return u
		}
	}
	u := &usage{}
	s.own[c] = u
	return u
}

// Start counts a request that gets a target.
func (s *Service) Start(c Class, cost float64, now time.Duration) {
	if s.meanCost == 0 {
		s.meanCost = cost
	}
	s.meanCost += (cost - s.meanCost) / 32
	u := s.usageOf(c)
	u.used += cost
	u.requests++
	u.update(now)
}

// End counts a request out whose target is released.
func (s *Service) End(c Class, cost float64, now time.Duration) {
	u := s.own[c]
	if u == nil || u.requests == 0 {
		u = s.own[Class{Priority: c.Priority, Others: true}]
	}
	if u == nil || u.requests == 0 {
		return
	}
	u.update(now)
	u.requests--
	u.used = max(0, u.used-cost)
	if u.requests == 0 {
		// Without requests nothing is used, whatever rounding errors remain.
		u.used = 0
	}
}

// RecordRefused counts a request that is refused for lack of room.
func (s *Service) RecordRefused(c Class, cost float64, now time.Duration) {
	u := s.usageOf(c)
	u.update(now)
	u.refused += cost
	u.update(now)
}

// RecordFull records that a request within the limits lacked room. One that is much larger
// than usual says nothing of the capacity for others.
func (s *Service) RecordFull(cost float64, now time.Duration) {
	if s.meanCost > 0 && cost > largeCost*s.meanCost {
		return
	}
	s.fullAt = now
	s.scarceUntil = max(s.scarceUntil, now+scarcityTime)
}

// Waiting is the queued requests of a class.
type Waiting struct {
	Class    Class
	Requests int
	Cost     float64
}

// SetWaiting sets the queued requests of this gateway.
func (s *Service) SetWaiting(waiting []Waiting, now time.Duration) {
	for _, u := range s.own {
		u.waiting, u.waitingNumber = 0, 0
	}
	for _, w := range waiting {
		u := s.usageOf(w.Class)
		u.waiting += w.Cost
		u.waitingNumber += w.Requests
		u.update(now)
	}
}

// SetReport replaces the report of a source, a peer by address or a zone by name. A nil
// report removes it.
func (s *Service) SetReport(source string, ownZone bool, d *peering.ServiceDemand, now time.Duration) {
	former := s.reports[source]
	if d == nil {
		if former != nil {
			s.addSource(former, -1)
			delete(s.reports, source)
		}
		return
	}
	if s.reports == nil {
		s.reports = make(map[string]*report)
	}
	r := &report{ownZone: ownZone, at: now, demand: *d}
	if d.Scarcity > 0 {
		left := min(float64(d.Scarcity), scarcityTime.Seconds())
		r.fullAt = now - scarcityTime + time.Duration(left*float64(time.Second))
		s.scarceUntil = max(s.scarceUntil, r.fullAt+scarcityTime)
	}
	s.reports[source] = r
	if former == nil {
		s.addSource(r, 1)
		s.equalPart = 0
	}
}

// RetainSources drops the reports of all sources for which present returns false.
func (s *Service) RetainSources(present func(source string) bool) {
	zone, gateways := s.ownTotal(), 1
	for _, r := range s.reports {
		if r.ownZone {
			zone += usedIn(r)
			gateways++
		}
	}
	dropped := false
	for source, r := range s.reports {
		if !present(source) {
			s.addSource(r, -1)
			delete(s.reports, source)
			dropped = true
		}
	}
	if dropped && len(s.reports) == 0 {
		s.equalPart = zone / float64(gateways)
	}
}

// ownTotal returns what this gateway uses, without the requests in flight that upstreams
// refuse.
func (s *Service) ownTotal() float64 { return max(0, s.ownInFlight()-s.wasted) }

// ownInFlight returns the cost of all requests in flight of this gateway.
func (s *Service) ownInFlight() float64 {
	used := 0.0
	for _, u := range s.own {
		used += u.used
	}
	return used
}

// acceptedPart returns the part of what this gateway uses that upstreams do not refuse.
func (s *Service) acceptedPart() float64 {
	used := s.ownInFlight()
	if used == 0 {
		return 1
	}
	return max(0, used-s.wasted) / used
}

// RecordWasted counts a request that an upstream has refused for lack of room after it was
// in flight for a time. Gateways that lack news of each other send many of them.
func (s *Service) RecordWasted(cost float64, inFlight, now time.Duration) {
	s.updateWasted(now)
	s.wasted += cost * inFlight.Seconds() / wastedTime.Seconds()
}

func (s *Service) updateWasted(now time.Duration) {
	if now > s.wastedAt {
		s.wasted *= decay(now-s.wastedAt, wastedTime)
		s.wastedAt = now
	}
}

// RetainAccounts drops the classes of accounts for which present returns false.
func (s *Service) RetainAccounts(present func(account string) bool) {
	gone := func(c Class) bool { return !c.Others && c.Account != "" && !present(c.Account) }
	for c := range s.own {
		if gone(c) {
			delete(s.own, c)
			delete(s.limits, c)
			delete(s.held, c)
		}
	}
	for _, r := range s.reports {
		r.demand.Classes = slices.DeleteFunc(slices.Clone(r.demand.Classes), func(c peering.ClassDemand) bool {
			return gone(Class{Account: c.Account})
		})
	}
}

// Active reports whether the service was short of room recently, so that its demand is
// to be reported and its shares are to be computed.
func (s *Service) Active(now time.Duration) bool {
	return s.scarceUntil > 0 && now < s.scarceUntil-scarcityTime+reportTime
}

// IsDue reports whether the shares are to be computed.
func (s *Service) IsDue(now time.Duration) bool {
	interval := refreshInterval * time.Duration(1+len(s.reports)/refreshSources)
	return s.scarceUntil > 0 && now-s.refreshedAt >= interval
}

// Refresh computes the shares, and returns the classes for which that changes whether
// they are limited here. SetWaiting is to be called before it.
func (s *Service) Refresh(now time.Duration) []Change {
	elapsed := now - s.refreshedAt
	s.refreshedAt = now
	s.updateOwn(now)
	s.updateWasted(now)
	if !s.Active(now) {
		s.reset()
		return s.changes(now, 0, 0)
	}
	for source, r := range s.reports {
		if now-r.at > maxReportAge {
			s.addSource(r, -1)
			delete(s.reports, source)
		}
	}
	reported, oldest := s.mergeDemand(now)
	s.estimateCapacity(s.ownTotal()+reported, elapsed, now)
	s.setLimits(now)
	return s.changes(now, len(s.reports), oldest)
}

// updateOwn drops the own classes without demand.
func (s *Service) updateOwn(now time.Duration) {
	for c, u := range s.own {
		u.update(now)
		if u.requests == 0 && u.waitingNumber == 0 && u.demand < minAmount {
			delete(s.own, c)
		}
	}
}

// reset forgets what is known of the capacity and of the peers.
func (s *Service) reset() {
	s.scarceUntil, s.capacity, s.peak, s.equalPart = 0, 0, 0, 0
	s.limiting, s.samples = false, nil
	s.reports, s.demands, s.merged, s.limits = nil, nil, nil, nil
}

// mergeDemand computes the demand of all gateways. It returns what peers have reported as
// used, and the age of the oldest report.
func (s *Service) mergeDemand(now time.Duration) (reported float64, oldest time.Duration) {
	if s.demands == nil {
		s.demands = make(map[Class]*demand)
	}
	clear(s.demands)
	s.merged = s.merged[:0]
	for c, u := range s.own {
		s.add(c, 1, u.used, u.demand-u.used)
	}
	for _, r := range s.reports {
		oldest = max(oldest, now-r.at)
		for i := range r.demand.Classes {
			c := &r.demand.Classes[i]
			class, accounts := Class{Account: c.Account, Priority: c.Priority}, 1
			if c.Accounts > 1 {
				class, accounts = Class{Priority: c.Priority, Others: true}, c.Accounts
			}
			reported += float64(c.Used)
			s.add(class, accounts, float64(c.Used), float64(c.Wanted))
		}
	}
	return reported, oldest
}

// add adds what one source uses and wants of a class to the demand of all gateways.
func (s *Service) add(c Class, accounts int, used, wanted float64) {
	d := s.demands[c]
	if d == nil {
		if len(s.merged) == cap(s.merged) {
			// The elements of the former array stay in use.
			s.merged = make([]demand, 0, max(64, 2*cap(s.merged)))
		}
		s.merged = append(s.merged, demand{class: c})
		d = &s.merged[len(s.merged)-1]
		s.demands[c] = d
	}
	// The sums of several gateways may contain the same accounts.
	d.accounts = max(d.accounts, accounts)
	d.used += used
	d.wanted += max(0, wanted)
}

// estimateCapacity updates the estimate of the capacity: the total usage at the times at
// which requests within the limits lacked room. Usage at other times says nothing of it,
// since the limits lower it. What gateways use that report no demand is not available, and
// not part of the estimate either.
func (s *Service) estimateCapacity(total float64, elapsed, now time.Duration) {
	if len(s.reports) == 0 && s.equalPart > 0 {
		s.capacity = s.equalPart + (s.capacity-s.equalPart)*decay(elapsed, isolatedTime)
	}
	full := s.scarceUntil - scarcityTime
	s.peak *= decay(elapsed, peakTime)
	if full <= s.fullSeen || now-full > maxFullAge {
		s.growCapacity(total, now-full, elapsed)
		return
	}
	s.fullSeen = full
	s.samples = append(s.samples[max(0, len(s.samples)-capacitySamples+1):], total)
	total = lowerQuartile(s.samples)
	s.peak = max(s.peak, total)
	if s.capacity == 0 {
		s.capacity = total
		return
	}
	constant := fallTime
	if total > s.capacity {
		constant = riseTime
	}
	s.capacity += (total - s.capacity) * (1 - decay(elapsed, constant))
	s.capacity = max(s.capacity, peakPart*s.peak)
}

// addSource adds what a source uses to the estimate, which contains the usage of all
// sources, when its reports begin, and subtracts it when they end.
func (s *Service) addSource(r *report, sign float64) {
	used := sign * usedIn(r)
	s.samples = nil
	if s.capacity > 0 {
		s.capacity = max(0, s.capacity+used)
		s.peak = max(0, s.peak+used)
	}
}

// usedIn returns what the classes of a report use.
func usedIn(r *report) float64 {
	used := 0.0
	for i := range r.demand.Classes {
		used += float64(r.demand.Classes[i].Used)
	}
	return used
}

// growCapacity raises the estimate while no request lacks room and the usage follows.
func (s *Service) growCapacity(total float64, since, elapsed time.Duration) {
	if since <= growthStart {
		return
	}
	s.samples = nil
	grown := s.capacity * (1 + growthRate*elapsed.Seconds())
	s.capacity = max(s.capacity, min(grown, growthLead*total))
}

// lowerQuartile returns the value that a quarter of the values are below.
func lowerQuartile(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/4]
}

// Empty reports whether no request is in flight here.
func (s *Service) Empty() bool {
	for _, u := range s.own {
		if u.requests > 0 {
			return false
		}
	}
	return true
}
