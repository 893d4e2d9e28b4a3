package emulator

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// maxWatch limits how long a watch waits.
const maxWatch = time.Minute

// storeEntry is the wire form of a key's value; version 0 means that the key does
// not exist.
type storeEntry struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// storeLease is the wire form of a lease.
type storeLease struct {
	Holder     string `json:"holder"`
	Fence      uint64 `json:"fence"`
	DurationMs int64  `json:"duration-ms"`
}

func (storeLease storeLease) duration() time.Duration {
	return time.Duration(storeLease.DurationMs) * time.Millisecond
}

// Handler returns the store's HTTP handler.
func (store *Store) Handler() http.Handler {
	router := echo.New()
	router.GET("/keys/*", store.serveGet)
	router.PUT("/keys/*", store.withFaults(store.servePut))
	router.DELETE("/keys/*", store.withFaults(store.serveDelete))
	router.POST("/leases/:name/acquire", store.withFaults(store.serveAcquire))
	router.POST("/leases/:name/renew", store.withFaults(store.serveRenew))
	router.POST("/leases/:name/release", store.withFaults(store.serveRelease))
	router.GET("/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, store.currentCalls()) })
	router.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, store.currentFaults()) })
	router.PUT("/faults", store.serveFaults)
	return router
}

// withFaults wraps the handler of a write: it counts the write and injects the
// store's faults.
func (store *Store) withFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		store.count(func(calls *StoreCalls) *int64 { return &calls.Writes })
		if store.delayAndRefuse(c) {
			return refuse(c, http.StatusServiceUnavailable, "the store has an outage")
		}
		if store.takeReplyLoss() {
			c.SetResponse(echo.NewResponse(NewDiscarder(), c.Echo()))
			_ = next(c)
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// delayAndRefuse waits for the injected delay and reports whether the store has
// an outage.
func (store *Store) delayAndRefuse(c echo.Context) bool {
	faults := store.currentFaults()
	pause(c.Request().Context(), time.Duration(faults.DelayMs)*time.Millisecond)
	return store.currentFaults().Outage
}

func (store *Store) serveGet(c echo.Context) error {
	if c.QueryParam("wait-ms") != "" {
		return store.serveWatch(c)
	}
	store.count(func(calls *StoreCalls) *int64 { return &calls.Reads })
	if store.delayAndRefuse(c) {
		return refuse(c, http.StatusServiceUnavailable, "the store has an outage")
	}
	return sendValue(c, store.get(keyOf(c)))
}

// serveWatch replies once the key's version is greater than the caller's.
func (store *Store) serveWatch(c echo.Context) error {
	store.count(func(calls *StoreCalls) *int64 { return &calls.Watches })
	if store.delayAndRefuse(c) {
		return refuse(c, http.StatusServiceUnavailable, "the store has an outage")
	}
	after := number(c.QueryParam("after"))
	wait := time.Duration(number(c.QueryParam("wait-ms"))) * time.Millisecond
	timer := time.NewTimer(min(wait, maxWatch))
	defer timer.Stop()
	for {
		current, changed, faultsChanged := store.watch(keyOf(c))
		if current.version > after {
			return sendValue(c, current)
		}
		select {
		case <-changed:
		case <-faultsChanged:
			if store.delayAndRefuse(c) {
				return refuse(c, http.StatusServiceUnavailable, "the store has an outage")
			}
		case <-timer.C:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (store *Store) servePut(c echo.Context) error {
	var write storeEntry
	if err := c.Bind(&write); err != nil {
		return refuse(c, http.StatusBadRequest, "send JSON with version and data")
	}
	if len(write.Data) > maxValueBytes {
		return refuse(c, http.StatusRequestEntityTooLarge, "a value has at most 1 MB")
	}
	current, ok := store.compareAndSwap(keyOf(c), write.Version, write.Data)
	if !ok {
		return refuse(c, http.StatusConflict, "the key is at another version")
	}
	return c.JSON(http.StatusOK, storeEntry{Version: current.version})
}

func (store *Store) serveDelete(c echo.Context) error {
	if !store.remove(keyOf(c), number(c.QueryParam("version"))) {
		return refuse(c, http.StatusConflict, "the key is at another version")
	}
	return c.JSON(http.StatusOK, storeEntry{})
}

func (store *Store) serveAcquire(c echo.Context) error {
	return serveLease(c, func(name string, lease storeLease) (grant, bool) {
		return store.acquire(name, lease.Holder, lease.duration(), time.Now())
	})
}

func (store *Store) serveRenew(c echo.Context) error {
	return serveLease(c, func(name string, lease storeLease) (grant, bool) {
		return store.renew(name, lease.Fence, lease.duration(), time.Now())
	})
}

func (store *Store) serveRelease(c echo.Context) error {
	return serveLease(c, func(name string, lease storeLease) (grant, bool) {
		return store.renew(name, lease.Fence, 0, time.Now())
	})
}

// serveLease decodes a lease call, applies it and replies.
func serveLease(c echo.Context, apply func(name string, lease storeLease) (grant, bool)) error {
	var lease storeLease
	if err := c.Bind(&lease); err != nil {
		return refuse(c, http.StatusBadRequest, "send JSON with holder, fence and duration-ms")
	}
	grant, ok := apply(c.Param("name"), lease)
	if !ok {
		return refuse(c, http.StatusConflict, "the lease is held by another or has lapsed")
	}
	return c.JSON(http.StatusOK, storeLease{Holder: grant.holder, Fence: grant.fence, DurationMs: lease.DurationMs})
}

func (store *Store) serveFaults(c echo.Context) error {
	var faults StoreFaults
	if err := c.Bind(&faults); err != nil {
		return refuse(c, http.StatusBadRequest, "send JSON with outage, delay-ms and lose-replies")
	}
	store.setFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

func sendValue(c echo.Context, value value) error {
	return c.JSON(http.StatusOK, storeEntry{Data: value.data, Version: value.version})
}

// keyOf returns the key in the path. The router matches the escaped path, so a
// key may contain any byte.
func keyOf(c echo.Context) string {
	key, err := url.PathUnescape(c.Param("*"))
	if err != nil {
		return c.Param("*")
	}
	return key
}

// number parses a decimal number; any other text gives 0.
func number(text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0
	}
	return value
}
