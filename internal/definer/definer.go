// Package definer declares the values that the other packages share: the
// [Configuration] of services, pools, endpoints and rules that the committee
// accepts, the [RouteTable], hosts, and load reports of endpoints.
//
// A Configuration is immutable, and its revision never decreases.
//
// The package does no I/O, reads no clock, starts no goroutine and imports no
// codec; package encoder encodes and decodes its values.
package definer

// Place is the location of a host or an endpoint.
type Place struct {
	region     string
	dataCentre string
}

// NewPlace returns the location of a data centre in a region.
func NewPlace(region, dataCentre string) Place {
	return Place{region: region, dataCentre: dataCentre}
}

// Region returns the name of the region.
func (place Place) Region() string { return place.region }

// DataCentre returns the name of the data centre, unique across regions.
func (place Place) DataCentre() string { return place.dataCentre }

// String returns region/data-centre.
func (place Place) String() string { return place.region + "/" + place.dataCentre }
