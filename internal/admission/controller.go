package admission

import "time"

// Room is what the targets that may get requests can do, as known to this instance.
type Room struct {
	// Reachable is the work per second that they can do, Total that of all registered
	// targets, also of those that this instance doesn't reach.
	Reachable, Total Work
	// Backlog is the time for which a request is expected to wait at its target.
	Backlog time.Duration
	// TolerableWait is the wait from which less than their rate is admitted.
	TolerableWait time.Duration
	// Age is how old the reports of the targets' load may be.
	Age time.Duration
}

// Fleet is what is known of the other instances.
type Fleet struct {
	// Size is the number of instances that may be serving, including this one.
	Size int
	// MaxAge is the age up to which the report of a peer counts.
	MaxAge time.Duration
}

// Weights are the accounts' weights in fair sharing.
type Weights struct {
	ByAccount map[string]float64
	// Default is the weight of all others, Total the sum of all weights.
	Default, Total float64
}

func (w *Weights) of(account string) float64 {
	if v := w.ByAccount[account]; v > 0 {
		return v
	}
	return max(w.Default, minWeight)
}

const minWeight = 1e-9

// State describes the last update.
type State struct {
	// Scarce is set if the fleet's demand exceeds the room.
	Scarce bool
	// Resource is the one that binds, Asked the demand for it and Room what there is of it,
	// per second.
	Resource    Resource
	Asked, Room float64
	// Wait is the expected wait for a target.
	Wait time.Duration
	// Reporting is the number of instances with a fresh report, including this one, Fleet
	// the number of all.
	Reporting, Fleet int
	// DemandAge is the age of the oldest report that counts, RoomAge that of the targets'
	// load, both at UpdatedAt.
	DemandAge, RoomAge time.Duration
	UpdatedAt          time.Duration
}

// Controller decides on the requests of one instance for one service. It is not safe for
// concurrent use.
type Controller struct {
	own     map[Class]*localDemand
	peers   map[string]report
	weights Weights
	state   State
	// startedAt is the time of the first update.
	startedAt time.Duration
	started   bool
	// rows is this instance's last report.
	rows []Demand
	// demand is the fleet's demand, waiting the work that waits for a target.
	demand  map[Class]Work
	waiting Work
	// shares are the fractions of the demand that are admitted, by class. A class that no
	// report names has that of its urgency's unnamed accounts.
	shares map[Class]float64
	// byUrgency are the shares of all requests of an urgency.
	byUrgency [MaxUrgency + 1]float64
	returning returns
}

// report is the last report of a peer.
type report struct {
	at   time.Duration
	rows []Demand
}

// New returns a controller that admits everything until its first update.
func New() *Controller {
	c := &Controller{
		own: map[Class]*localDemand{}, peers: map[string]report{}, demand: map[Class]Work{}, shares: map[Class]float64{},
		returning: newReturns(),
	}
	c.admitAll()
	return c
}

// SetWeights sets the accounts' weights.
func (c *Controller) SetWeights(w Weights) { c.weights = w }

// State returns a description of the last update.
func (c *Controller) State() State { return c.state }

// Share returns the fraction of an urgency's demand that is admitted.
func (c *Controller) Share(urgency int) float64 { return c.byUrgency[clampUrgency(urgency)] }

func clampUrgency(u int) int { return min(max(u, 0), MaxUrgency) }

// ApplyReport records the report that a peer made at the given time.
func (c *Controller) ApplyReport(instance string, at time.Duration, rows []Demand) {
	if old, known := c.peers[instance]; known && old.at > at {
		return
	}
	c.peers[instance] = report{at: at, rows: rows}
}

const (
	// drainTime is the time in which waiting requests beyond the tolerable wait are to be
	// worked off.
	drainTime = time.Second
	// minRoomFactor and maxRoomFactor bound the correction of the room for the wait.
	minRoomFactor, maxRoomFactor = 0.5, 1.5
	// startGrace is the time after the start within which the peers' reports arrive. An
	// instance doesn't limit itself to its own part of the room before.
	startGrace = time.Second
	// silentDemandAge is the age up to which the demand of a silent peer still counts. It
	// covers the loss of a hub. Later, the peer has probably ended and its callers are
	// elsewhere.
	silentDemandAge = 3 * time.Second
)

// Update computes the shares anew. Call it after Report, and after each exchange with the
// peers.
func (c *Controller) Update(now time.Duration, room Room, fleet Fleet) {
	if !c.started {
		c.started, c.startedAt = true, now
	}
	c.sumDemand(now, fleet)
	c.state.RoomAge, c.state.UpdatedAt = room.Age, now
	if !c.measureRoom(&room) || c.state.Asked <= c.state.Room {
		c.admitAll()
		return
	}
	c.state.Scarce = true
	c.divide()
}

// sumDemand adds up the demand of this instance and of the peers with fresh reports.
func (c *Controller) sumDemand(now time.Duration, fleet Fleet) {
	clear(c.demand)
	c.waiting = Work{}
	c.state.Reporting, c.state.DemandAge = 1, 0
	c.addRows(c.rows)
	for name, r := range c.peers {
		age := now - r.at
		if age > max(fleet.MaxAge, silentDemandAge) {
			delete(c.peers, name)
			continue
		}
		c.addRows(r.rows)
		c.state.DemandAge = max(c.state.DemandAge, age)
		if age <= fleet.MaxAge {
			c.state.Reporting++
		}
	}
	c.state.Fleet = max(fleet.Size, 1)
}

func (c *Controller) addRows(rows []Demand) {
	for i := range rows {
		r := &rows[i]
		c.demand[r.Class] = c.demand[r.Class].Add(r.PerSecond)
		c.waiting = c.waiting.Add(r.Waiting)
	}
}

// measureRoom determines the resource that binds and how much of it there is. It returns
// false if no target is known to take requests; placement refuses them then.
func (c *Controller) measureRoom(room *Room) bool {
	var asked Work
	for _, w := range c.demand {
		asked = asked.Add(w)
	}
	c.state.Asked, c.state.Room = 0, 0
	for _, r := range []Resource{Prefill, Slots} {
		available := min(r.of(room.Reachable), c.ownFraction()*r.of(room.Total))
		if available > 0 && (c.state.Room == 0 || r.of(asked)/available > c.state.Asked/c.state.Room) {
			c.state.Resource, c.state.Asked, c.state.Room = r, r.of(asked), available
		}
	}
	if c.state.Room == 0 {
		return false
	}
	queued := c.state.Resource.of(c.waiting) / c.state.Room
	c.state.Wait = room.Backlog + time.Duration(queued*float64(time.Second))
	excess := float64(c.state.Wait-room.TolerableWait) / float64(drainTime)
	c.state.Room *= min(maxRoomFactor, max(minRoomFactor, 1-excess))
	return true
}

// ownFraction returns the fraction of the total room that belongs to the instances that
// report here.
func (c *Controller) ownFraction() float64 {
	justStarted := c.state.UpdatedAt-c.startedAt < startGrace
	if justStarted || 2*c.state.Reporting >= c.state.Fleet {
		return 1
	}
	return float64(c.state.Reporting) / float64(c.state.Fleet)
}

func (c *Controller) admitAll() {
	c.state.Scarce = false
	clear(c.shares)
	for u := range c.byUrgency {
		c.byUrgency[u] = 1
	}
}

// divide divides the room among the classes.
func (c *Controller) divide() {
	clear(c.shares)
	var asked [MaxUrgency + 1]float64
	var claims [MaxUrgency + 1][]claim
	for class, w := range c.demand {
		u, a := class.Urgency, c.state.Resource.of(w)
		asked[u] += a
		claims[u] = append(claims[u], claim{account: class.Account, asked: a, weight: c.weights.of(class.Account)})
	}
	for u := range claims {
		c.weightUnnamed(claims[u])
	}
	granted := divideByUrgency(asked[:], c.state.Room)
	for u := range claims {
		c.byUrgency[u] = 1
		if asked[u] > 0 {
			c.byUrgency[u] = min(1, granted[u]/asked[u])
		}
		divideByWeight(claims[u], granted[u])
		for _, cl := range claims[u] {
			if cl.asked > 0 {
				c.shares[Class{cl.account, u}] = min(1, cl.granted/cl.asked)
			}
		}
	}
}

// weightUnnamed gives the accounts that reports don't name the weight that the named ones
// leave.
func (c *Controller) weightUnnamed(claims []claim) {
	left := c.weights.Total
	for i := range claims {
		if claims[i].account != "" {
			left -= claims[i].weight
		}
	}
	for i := range claims {
		if cl := &claims[i]; cl.account == "" {
			cl.weight = max(cl.weight, left)
		}
	}
}

// askedBy returns the demand of a class for the resource that binds.
func (c *Controller) askedBy(class Class) float64 {
	w, named := c.demand[class]
	if !named {
		w = c.demand[Class{Urgency: class.Urgency}]
	}
	return c.state.Resource.of(w)
}

// shareOf returns the fraction of a class's requests that is admitted.
func (c *Controller) shareOf(class Class) float64 {
	if !c.state.Scarce {
		return 1
	}
	if s, named := c.shares[class]; named {
		return s
	}
	if s, known := c.shares[Class{Urgency: class.Urgency}]; known {
		return s
	}
	return c.byUrgency[class.Urgency]
}
