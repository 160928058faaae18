package platform

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
)

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// VM describes one VM in the list.
type VM struct {
	Address     string `json:"address"` // IP:port; identifies the VM
	PeerAddress string `json:"peer,omitempty"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	Role        string `json:"role"` // entry or upstream
	User        string `json:"user,omitempty"`
	Service     string `json:"service,omitempty"`
	State       string `json:"state"`
}

// VMs returns the entry VMs and the upstreams of a deployment, all live.
func VMs(d deployment.Deployment) []VM {
	var vms []VM
	for _, entry := range d.Entries {
		vms = append(vms, VM{
			Address: entry.Address, PeerAddress: entry.PeerAddress, DataCentre: entry.DataCentre, Region: d.Region,
			Role: "entry", State: Live,
		})
	}
	for _, r := range d.Replicas() {
		vms = append(vms, VM{
			Address: r.Address, DataCentre: r.DataCentre, Region: d.Region,
			Role: "upstream", User: d.User, Service: r.Service.Name, State: Live,
		})
	}
	return vms
}

// vmHistory keeps past lists of VMs, since the list that callers see lags behind
// the changes. The lists are in order of time.
type vmHistory struct {
	lag   clock.Millis
	lists []vmList
}

type vmList struct {
	since clock.Millis
	vms   []VM
}

func (h *vmHistory) reset(vms []VM) {
	h.lists = []vmList{{since: clock.Millis(math.Inf(-1)), vms: slices.Clone(vms)}}
}

func (h *vmHistory) newest() []VM { return h.lists[len(h.lists)-1].vms }

func (h *vmHistory) change(now clock.Millis, vms []VM) {
	h.lists = append(h.lists, vmList{since: now, vms: vms})
}

// visible returns the newest list that is at least as old as the lag, and discards
// the older ones.
func (h *vmHistory) visible(now clock.Millis) []VM {
	newestVisible := 0
	for i, list := range h.lists {
		if list.since <= now-h.lag {
			newestVisible = i
		}
	}
	h.lists = h.lists[newestVisible:]
	return h.lists[0].vms
}

// SetVM adds vm, or replaces the one with the same address. The change becomes
// visible after Faults.VMLag.
func (s *Server) SetVM(vm VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(s.vms.newest()), func(v VM) bool { return v.Address == vm.Address })
	s.vms.change(s.clock.Now(), append(vms, vm))
}

// MarkLeaving sets the state of the VM at address to Leaving. It returns false for
// an unknown address. The change becomes visible after Faults.VMLag.
func (s *Server) MarkLeaving(address string) bool {
	return s.editVMs(address, func(vms []VM, i int) []VM {
		vms[i].State = Leaving
		return vms
	})
}

// RemoveVM removes the VM at address. It returns false for an unknown address. The
// change becomes visible after Faults.VMLag.
func (s *Server) RemoveVM(address string) bool {
	return s.editVMs(address, func(vms []VM, i int) []VM { return slices.Delete(vms, i, i+1) })
}

// editVMs adds a list to the history, which change makes from a copy of the newest
// list and the index of the VM at address.
func (s *Server) editVMs(address string, change func(vms []VM, i int) []VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Clone(s.vms.newest())
	i := slices.IndexFunc(vms, func(v VM) bool { return v.Address == address })
	if i < 0 {
		return false
	}
	s.vms.change(s.clock.Now(), change(vms, i))
	return true
}

func (s *Server) handleListVMs(c echo.Context) error {
	s.mu.Lock()
	vms := s.vms.visible(s.clock.Now())
	s.mu.Unlock()
	if vms == nil {
		vms = []VM{}
	}
	text, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), 16))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, text)
}

// handleChangeVM adds or replaces a VM, or marks it leaving or removes it if the
// state says so. The states leaving and removed need only an address.
func (s *Server) handleChangeVM(c echo.Context) error {
	var vm VM
	if err := c.Bind(&vm); err != nil {
		return err
	}
	known := true
	switch vm.State {
	case "removed":
		known = s.RemoveVM(vm.Address)
	case Leaving:
		known = s.MarkLeaving(vm.Address)
	default:
		vm.State = Live
		s.SetVM(vm)
	}
	if !known {
		return echo.NewHTTPError(http.StatusNotFound, "no VM at "+vm.Address)
	}
	return c.NoContent(http.StatusOK)
}
