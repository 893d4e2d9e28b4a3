// Package definer declares the objects that operators define and the committee
// accepts: services, pools, endpoints and rules, held in an immutable
// [Configuration] whose revision never decreases.
//
// The package does no I/O and imports no codec; package encoder turns a
// Configuration into bytes and back.
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
