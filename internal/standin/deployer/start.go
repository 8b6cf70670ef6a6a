package deployer

import (
	"context"
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
	"dotterelcart.dev/dotterelcart/internal/standin/keeper"
	"dotterelcart.dev/dotterelcart/internal/standin/registrar"
)

func (d *Deployment) startPlatform(context.Context) (err error) {
	if d.Store, err = keeper.New(loopback); err != nil {
		return err
	}
	d.HostList, err = registrar.New(loopback, hostsLag)
	return err
}

func (d *Deployment) startWorkers(context.Context) error {
	for _, m := range d.Domains {
		for i, o := range hoster.TypicalWorkers(m.Region, m.Name, Service, d.options.Workers) {
			o.Host.Rack = rackName(m, i/RackSize)
			o.ReportDelay, o.ServiceTime = usageLag, serviceTime
			w, err := hoster.New(o, d.Audit)
			if err != nil {
				return err
			}
			m.Workers = append(m.Workers, w)
		}
	}
	return nil
}

func rackName(m *Domain, i int) string { return fmt.Sprintf("%s-r%d", m.Name, i+1) }

// startEntries chooses all addresses first, since each domain's view of the
// others has to be complete when its daemons start.
func (d *Deployment) startEntries(ctx context.Context) error {
	hosts, err := d.addresses()
	if err != nil {
		return err
	}
	d.HostList.Set(hosts)
	for _, m := range d.Domains {
		relays, err := d.view(m, hosts)
		if err != nil {
			return err
		}
		d.HostList.SetView(m.Name, relays)
		store, list, err := d.platform(m)
		if err != nil {
			return err
		}
		for _, e := range m.Entries {
			e.Settings.Platform.Store = "http://" + store
			e.Settings.Platform.Hosts = "http://" + list + "/" + m.Name
			e.Settings.Peers = seeds(e, hosts, relays)
			if err := e.Start(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// addresses gives every entry host its ports and returns the host list.
func (d *Deployment) addresses() ([]describer.Host, error) {
	var hosts []describer.Host
	for _, m := range d.Domains {
		for i := range d.options.EntryHosts {
			e, err := newEntry(m, i, d.options.Launch)
			if err != nil {
				return nil, err
			}
			m.Entries = append(m.Entries, e)
			hosts = append(hosts, e.host())
		}
		for _, w := range m.Workers {
			hosts = append(hosts, w.Host)
		}
	}
	return hosts, nil
}

// platform returns the addresses of store and host list as seen from m.
func (d *Deployment) platform(m *Domain) (store, hosts string, err error) {
	home := d.Domains[0]
	if store, err = d.through(m, home.Name, home.Region, d.Store.Address); err != nil {
		return "", "", err
	}
	hosts, err = d.through(m, home.Name, home.Region, d.HostList.Address)
	return store, hosts, err
}

// view makes a relay to every address outside the domain.
func (d *Deployment) view(m *Domain, hosts []describer.Host) (map[string]string, error) {
	relays := make(map[string]string)
	for _, h := range hosts {
		for _, address := range []string{h.Address, h.Control} {
			relay, err := d.through(m, h.Domain, h.Region, address)
			if err != nil {
				return nil, err
			}
			relays[address] = relay
		}
	}
	return relays, nil
}

// through returns the address at which the domain reaches target.
func (d *Deployment) through(from *Domain, name, region, target string) (string, error) {
	if from.Name == name {
		return target, nil
	}
	link := d.IntraRegion
	if from.Region != region {
		link = d.InterRegion
	}
	if from != d.Domains[0] {
		link = link.Reverse()
	}
	r, err := delayer.New(loopback, target, link)
	if err != nil {
		return "", err
	}
	d.relays = append(d.relays, r)
	return r.Address, nil
}

func seeds(e *Entry, hosts []describer.Host, relays map[string]string) []string {
	var out []string
	for _, h := range hosts {
		if h.Role == describer.Entry && h.Name != e.Settings.Name {
			out = append(out, relays[h.Control])
		}
	}
	return out
}

func (d *Deployment) startBalancers(context.Context) error {
	for _, m := range d.Domains {
		var targets []balancer.Target
		for _, e := range m.Entries {
			callers := e.Settings.Listen.Callers
			targets = append(targets, balancer.Target{Address: callers, CheckURL: "http://" + callers + "/ready"})
		}
		b, err := balancer.New(loopback, targets, checkInterval)
		if err != nil {
			return err
		}
		m.Balancer = b
	}
	return nil
}
