package upstreams

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

// Info is the state of a replica as GET /upstreams returns it.
type Info struct {
	Address    string    `json:"address"`
	DataCentre string    `json:"dataCentre"`
	Service    string    `json:"service"`
	Boot       string    `json:"boot"`
	Cold       bool      `json:"cold"`
	Capacity   int       `json:"level"` // sub-requests that the process can run at a time
	Holdings   []Holding `json:"holdings"`
	Faults     Faults    `json:"faults"`
	Counts     Counts    `json:"counts"`
}

// Info returns the replica's true state, whatever Faults.StatusOverride says.
func (u *Upstream) Info() Info {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Info{
		Address: u.Address(), DataCentre: u.DataCentre(), Service: u.Service(), Boot: u.currentBootID(),
		Cold: u.cold, Capacity: u.capacity(), Holdings: u.holdings, Faults: u.faults, Counts: u.counts,
	}
}

// Control returns the HTTP interface for fault injection. The query parameters
// upstream, service and dataCentre select replicas; without them a call applies
// to all replicas.
//
//	GET    /upstreams                              state and counts
//	GET    /log?after=N                            sub-requests received, by address
//	PUT    /faults {"shed": 0.5}                   sets the given faults, keeps the others
//	DELETE /faults                                 clears all faults
//	POST   /silence                                makes open connections silent
//	POST   /restart                                restarts the process, cold
//	POST   /publish?service=S {"version", "shards", "share"}
//	POST   /drop?service=S {"version", "share"}
func (f *Fleet) Control() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/upstreams", f.handleList)
	e.GET("/log", f.handleLog)
	e.PUT("/faults", f.handleSetFaults)
	e.DELETE("/faults", f.forEachSelected(func(u *Upstream) { u.SetFaults(Faults{}) }))
	e.POST("/silence", f.forEachSelected((*Upstream).Silence))
	e.POST("/restart", f.forEachSelected((*Upstream).Restart))
	e.POST("/publish", f.handlePublish)
	e.POST("/drop", f.handleDrop)
	return e
}

func (f *Fleet) selectByQuery(c echo.Context) []*Upstream {
	return f.Select(Selector{
		Upstream: c.QueryParam("upstream"), Service: c.QueryParam("service"), DataCentre: c.QueryParam("dataCentre"),
	})
}

// forEachSelected returns a handler that applies a change to the selected
// replicas. It replies 404 if there are none.
func (f *Fleet) forEachSelected(apply func(*Upstream)) echo.HandlerFunc {
	return func(c echo.Context) error {
		selected := f.selectByQuery(c)
		if len(selected) == 0 {
			return echo.NewHTTPError(http.StatusNotFound, "no upstream matches the selection")
		}
		for _, u := range selected {
			apply(u)
		}
		return c.JSON(http.StatusOK, map[string]int{"upstreams": len(selected)})
	}
}

func (f *Fleet) handleList(c echo.Context) error {
	infos := []Info{}
	for _, u := range f.selectByQuery(c) {
		infos = append(infos, u.Info())
	}
	return c.JSON(http.StatusOK, infos)
}

func (f *Fleet) handleLog(c echo.Context) error {
	after := 0
	if text := c.QueryParam("after"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after: "+err.Error())
		}
		after = n
	}
	logs := make(map[string][]LogEntry)
	for _, u := range f.selectByQuery(c) {
		logs[u.Address()] = u.Log(after)
	}
	return c.JSON(http.StatusOK, logs)
}

// handleSetFaults sets the faults that the body contains and keeps the others. It
// checks the body before it changes any replica.
func (f *Fleet) handleSetFaults(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := decodeStrict(body, &Faults{}); err != nil {
		return err
	}
	return f.forEachSelected(func(u *Upstream) {
		faults := u.Faults()
		_ = decodeStrict(body, &faults)
		u.SetFaults(faults)
	})(c)
}

// versionChange is the body of POST /publish and POST /drop.
type versionChange struct {
	Version      uint64  `json:"version"`
	ShardCount   int     `json:"shards"`
	ReplicaShare float64 `json:"share"` // share of the replicas, 0 to 1
}

func (f *Fleet) handlePublish(c echo.Context) error {
	var change versionChange
	if err := c.Bind(&change); err != nil {
		return err
	}
	if change.Version == 0 || change.ShardCount <= 0 || c.QueryParam("service") == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "publish needs service, version above 0 and shards above 0")
	}
	f.Publish(c.QueryParam("service"), change.Version, change.ShardCount, change.ReplicaShare)
	return c.NoContent(http.StatusOK)
}

func (f *Fleet) handleDrop(c echo.Context) error {
	var change versionChange
	if err := c.Bind(&change); err != nil {
		return err
	}
	f.Drop(c.QueryParam("service"), change.Version, change.ReplicaShare)
	return c.NoContent(http.StatusOK)
}
