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

// startPlatform starts the store and the host list.
func (d *Deployment) startPlatform(context.Context) (err error) {
	if d.Store, err = keeper.New(loopback); err != nil {
		return err
	}
	d.HostList, err = registrar.New(loopback, hostListDelay)
	return err
}

// startWorkers starts the workers of all domains.
func (d *Deployment) startWorkers(context.Context) error {
	for _, domain := range d.Domains {
		for i, o := range hoster.TypicalWorkers(domain.Region, domain.Name, Service, d.options.Workers) {
			o.Host.Rack = rackName(domain, i/RackSize)
			o.ReportDelay, o.ServiceTime = reportDelay, serviceTime
			w, err := hoster.New(o, d.Audit)
			if err != nil {
				return err
			}
			domain.Workers = append(domain.Workers, w)
		}
	}
	return nil
}

// rackName returns the name of the domain's rack with index i.
func rackName(domain *Domain, i int) string { return fmt.Sprintf("%s-r%d", domain.Name, i+1) }

// startEntries starts the entry daemons of all domains. All addresses are chosen
// first, because each domain's view of the host list must be complete when its
// daemons start.
func (d *Deployment) startEntries(ctx context.Context) error {
	hosts, err := d.addEntries()
	if err != nil {
		return err
	}
	d.HostList.Set(hosts)
	for _, domain := range d.Domains {
		relays, err := d.relaysFor(domain, hosts)
		if err != nil {
			return err
		}
		d.HostList.SetView(domain.Name, relays)
		store, hostList, err := d.platformAddresses(domain)
		if err != nil {
			return err
		}
		for _, e := range domain.Entries {
			e.Settings.Platform.Store = "http://" + store
			e.Settings.Platform.Hosts = "http://" + hostList + "/" + domain.Name
			e.Settings.Peers = peerAddresses(e, hosts, relays)
			if err := e.Start(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// addEntries creates the entry hosts, with their addresses but without daemons, and
// returns the host list of the whole deployment.
func (d *Deployment) addEntries() ([]describer.Host, error) {
	var hosts []describer.Host
	for _, domain := range d.Domains {
		for i := range d.options.EntryHosts {
			e, err := newEntry(domain, i, d.options.Launch)
			if err != nil {
				return nil, err
			}
			domain.Entries = append(domain.Entries, e)
			hosts = append(hosts, e.host())
		}
		for _, w := range domain.Workers {
			hosts = append(hosts, w.Host)
		}
	}
	return hosts, nil
}

// platformAddresses returns the addresses at which the domain reaches the store and
// the host list.
func (d *Deployment) platformAddresses(domain *Domain) (store, hostList string, err error) {
	home := d.Domains[0]
	if store, err = d.addressFrom(domain, home.Name, home.Region, d.Store.Address); err != nil {
		return "", "", err
	}
	hostList, err = d.addressFrom(domain, home.Name, home.Region, d.HostList.Address)
	return store, hostList, err
}

// relaysFor returns the address at which the domain reaches each host, by the host's
// own address. It makes a relay for every address outside the domain.
func (d *Deployment) relaysFor(domain *Domain, hosts []describer.Host) (map[string]string, error) {
	relays := make(map[string]string)
	for _, h := range hosts {
		for _, address := range []string{h.Address, h.Control} {
			relay, err := d.addressFrom(domain, h.Domain, h.Region, address)
			if err != nil {
				return nil, err
			}
			relays[address] = relay
		}
	}
	return relays, nil
}

// addressFrom returns the address at which a domain reaches target. It makes a relay
// unless target is in the same domain.
func (d *Deployment) addressFrom(from *Domain, targetDomain, targetRegion, target string) (string, error) {
	if from.Name == targetDomain {
		return target, nil
	}
	link := d.IntraRegion
	if from.Region != targetRegion {
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

// peerAddresses returns the addresses at which an entry host reaches the others.
func peerAddresses(e *Entry, hosts []describer.Host, relays map[string]string) []string {
	var out []string
	for _, h := range hosts {
		if h.Role == describer.Entry && h.Name != e.Settings.Name {
			out = append(out, relays[h.Control])
		}
	}
	return out
}

// startBalancers starts a balancer over the entry hosts of each domain.
func (d *Deployment) startBalancers(context.Context) error {
	for _, domain := range d.Domains {
		var targets []balancer.Target
		for _, e := range domain.Entries {
			callers := e.Settings.Listen.Callers
			targets = append(targets, balancer.Target{Address: callers, CheckURL: "http://" + callers + "/ready"})
		}
		b, err := balancer.New(loopback, targets, checkInterval)
		if err != nil {
			return err
		}
		domain.Balancer = b
	}
	return nil
}
