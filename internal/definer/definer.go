// Package definer holds what operators define and the committee accepts:
// services, pools, endpoints and rules, gathered in an immutable
// [Configuration] under a revision that only rises.
//
// The package does no I/O and imports no codec; package encoder turns a
// Configuration into bytes and back.
package definer

// Place says where a host or an endpoint stands.
type Place struct {
	region     string
	dataCentre string
}

// NewPlace returns the place of a data centre in a region.
func NewPlace(region, dataCentre string) Place {
	return Place{region: region, dataCentre: dataCentre}
}

// Region returns the name of the region.
func (place Place) Region() string { return place.region }

// DataCentre returns the name of the data centre, unique over all regions.
func (place Place) DataCentre() string { return place.dataCentre }

// String returns region/data-centre.
func (place Place) String() string { return place.region + "/" + place.dataCentre }
