package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of a daemon, the same on all addresses.
const (
	portFront     = 8226
	portReady     = 8227
	portControl   = 8224
	portDirectory = 8225
	portMetrics   = 9102
)

// network chooses loopback addresses on which the ports of a daemon are free.
type network struct{ prefix string }

func newNetwork() (network, error) {
	for range 50 {
		n := network{prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
		if n.free(16) {
			return n, nil
		}
	}
	return network{}, errors.New("no free loopback addresses")
}

func (n network) ip(i int) string { return fmt.Sprintf("%s%d", n.prefix, 10+i) }

func (n network) free(count int) bool {
	for i := range count {
		for _, port := range []int{portFront, portReady, portControl, portDirectory, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip(i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// daemon is a process of the system on a machine of its own, that is on a loopback
// address of its own.
type daemon struct {
	name, ip, zone string
	command        string // of the deploy file
	settings       string // path
	record         *recorder
	logs           *os.File
	process        *exec.Cmd
}

// deployment holds what the settings of all daemons have in common.
type deployment struct {
	root      string // of the repository
	dir       string // temporary
	record    *recorder
	storeAddr string
	seeds     []string
	zones     map[string]string
	command   string
	template  string
	bounds    map[string]any
}

// The bounds of the small site, with its retry budget.
func smallSiteBounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
		"graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "skewMaxMs": 12000,
		"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "warmupOvershoot": 1.5, "warmupSlack": 5,
		"evacMs": 5000, "recoverS": 12, "ttl_max_s": 5,
	}
}

var (
	runLine      = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`)
	templateLine = regexp.MustCompile(`(?m)^template\s*=\s*"([^"]+)"`)
	placeholder  = regexp.MustCompile(`\{\{([A-Za-z_.]+)(\|json)?\}\}`)
)

// newDeployment reads the command and the template of the deploy file.
func newDeployment(root, dir string, record *recorder, storeAddr string) (*deployment, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	run, template := runLine.FindSubmatch(text), templateLine.FindSubmatch(text)
	if run == nil || template == nil {
		return nil, errors.New("the deploy file has no run or template")
	}
	content, err := os.ReadFile(filepath.Join(root, string(template[1])))
	if err != nil {
		return nil, err
	}
	return &deployment{
		root: root, dir: dir, record: record, storeAddr: storeAddr, command: string(run[1]), template: string(content),
		bounds: smallSiteBounds(),
	}, nil
}

// render fills in the placeholders of the template, as the users' page on the deploy
// file describes them, except for sections.
func (d *deployment) render(settings map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(d.template, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		var value any = settings
		for _, name := range strings.Split(parts[1], ".") {
			table, _ := value.(map[string]any)
			value = table[name]
		}
		if parts[2] != "" {
			encoded, err := json.Marshal(value)
			failed = errors.Join(failed, err)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
	return text, failed
}

// newDaemon writes the settings file of a daemon. It does not start the process.
func (d *deployment) newDaemon(name, ip, zone string) (*daemon, error) {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	text, err := d.render(map[string]any{
		"nodeName": name, "ip": ip, "zone": zone, "region": "region-1",
		"seeds":    d.seeds,
		"platform": map[string]any{"addr": d.storeAddr},
		"listen": map[string]any{
			"front": address(portFront), "ready": address(portReady), "control": address(portControl),
			"directory": address(portDirectory),
		},
		"bounds": d.bounds,
	})
	if err != nil {
		return nil, err
	}
	m := &daemon{
		name: name, ip: ip, zone: zone, record: d.record,
		command: filepath.Join(d.root, d.command), settings: filepath.Join(d.dir, name+".json"),
	}
	if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	m.logs, err = os.Create(filepath.Join(d.dir, name+".log"))
	return m, err
}

func (m *daemon) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }

// start starts the process.
func (m *daemon) start() error {
	m.process = exec.Command(m.command)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEGAP_NODE_FILE=" + m.settings}
	m.process.Stdout, m.process.Stderr = m.logs, m.logs
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.record.add("daemon %s: started at %s", m.name, m.ip)
	return m.process.Start()
}

// kill ends the process at once and waits for its end.
func (m *daemon) kill() {
	if m.process != nil && m.process.Process != nil {
		_ = m.process.Process.Kill()
		_ = m.process.Wait()
		m.record.add("daemon %s: killed", m.name)
	}
}

func (m *daemon) signal(s syscall.Signal) {
	m.record.add("daemon %s: %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

func (m *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
