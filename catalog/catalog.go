package catalog

import (
	"strings"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/urgency"
)

// Version is the operator's number of a configuration. It never decreases, and may skip numbers.
type Version uint64

// Document is a complete configuration, as decoded by an adapter.
type Document struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalog is the index of one configuration. It is immutable.
type Catalog struct {
	version  Version
	hosts    map[string]map[string]Route // by host, then by prefix
	services map[domain.ServiceName]Service
	byKey    map[string]Organisation
	classes  map[domain.ServiceName]urgency.Classes
	limits   Limits
}

// New indexes a document. It returns an error if two routes have the same host and prefix, or two
// organisations the same key.
func New(d Document) (*Catalog, error) {
	c := &Catalog{
		version:  d.Version,
		hosts:    map[string]map[string]Route{},
		services: make(map[domain.ServiceName]Service, len(d.Services)),
		byKey:    map[string]Organisation{},
		limits:   d.Limits,
	}
	for _, r := range d.Routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	for _, o := range d.Organisations {
		if o.Priority < 0 {
			o.Priority = urgency.DefaultPriority
		}
		if err := c.addOrganisation(o); err != nil {
			return nil, err
		}
	}
	c.classes = c.classesByService()
	return c, nil
}

// classesByService returns the classes of each service, from the priorities of its routes and of the
// organisations that may use them.
func (c *Catalog) classesByService() map[domain.ServiceName]urgency.Classes {
	organisations := map[int]bool{}
	for _, o := range c.byKey {
		organisations[o.Priority] = true
	}
	pairs := map[domain.ServiceName][]urgency.Priorities{}
	for _, byPrefix := range c.hosts {
		for _, r := range byPrefix {
			for _, b := range r.f.Backends {
				for p := range organisations {
					pairs[b.Service] = append(pairs[b.Service], urgency.Priorities{Organisation: p, Route: r.Priority()})
				}
				if r.Public() {
					pairs[b.Service] = append(pairs[b.Service], urgency.Priorities{Organisation: urgency.DefaultPriority, Route: r.Priority()})
				}
			}
		}
	}
	classes := map[domain.ServiceName]urgency.Classes{}
	for svc, list := range pairs {
		classes[svc] = urgency.NewClasses(list)
	}
	return classes
}

// Class returns the urgency of a request of the organisation on the route that goes to the service. A
// request without an organisation has the default priority.
func (c *Catalog) Class(svc domain.ServiceName, r Route, o Organisation) urgency.Class {
	p := urgency.Priorities{Organisation: o.Priority, Route: r.Priority()}
	if o.Name == "" {
		p.Organisation = urgency.DefaultPriority
	}
	return c.classes[svc].Of(p)
}

func (c *Catalog) addRoute(r Route) error {
	byPrefix, ok := c.hosts[r.f.Host]
	if !ok {
		byPrefix = map[string]Route{}
		c.hosts[r.f.Host] = byPrefix
	}
	if other, exists := byPrefix[r.f.Prefix]; exists {
		return invalid("prefix", "routes %q and %q have the same host and prefix", other.Name(), r.Name())
	}
	byPrefix[r.f.Prefix] = r
	return nil
}

func (c *Catalog) addOrganisation(o Organisation) error {
	for _, k := range o.Keys {
		if other, exists := c.byKey[k]; exists && other.Name != o.Name {
			return invalid("keys", "organisations %q and %q have the same key", other.Name, o.Name)
		}
		c.byKey[k] = o
	}
	return nil
}

// Version returns the operator's number of the configuration.
func (c *Catalog) Version() Version { return c.version }

// Limits returns the bounds of what callers may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route of the host with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (Route, bool) {
	byPrefix, ok := c.hosts[host]
	if !ok {
		return Route{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that the key belongs to.
func (c *Catalog) Organisation(key string) (Organisation, bool) {
	if key == "" {
		return Organisation{}, false
	}
	o, ok := c.byKey[key]
	return o, ok
}

// ColdRates returns the rates of cold targets, by service, of the services that have one.
func (c *Catalog) ColdRates() map[domain.ServiceName]float64 {
	rates := map[domain.ServiceName]float64{}
	for name, s := range c.services {
		if s.ColdRate > 0 {
			rates[name] = s.ColdRate
		}
	}
	return rates
}

// Timeouts returns the timeouts of the routes, by name; of several routes with one name, the longest.
func (c *Catalog) Timeouts() map[string]time.Duration {
	timeouts := map[string]time.Duration{}
	for _, byPrefix := range c.hosts {
		for _, r := range byPrefix {
			timeouts[r.Name()] = max(timeouts[r.Name()], r.Timeout())
		}
	}
	return timeouts
}

// Service returns the properties of a service; false if it is not configured.
func (c *Catalog) Service(name domain.ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}
