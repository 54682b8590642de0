package resilient

import (
	"context"

	"geraniumcroft/internal/platform"
)

var (
	_ platform.Table   = (*Client)(nil)
	_ platform.Objects = (*Client)(nil)
	_ platform.VMList  = (*Client)(nil)
)

// Names that the probes read. Neither needs to exist.
const (
	probeKey    = "probe"
	probeObject = "probe"
)

// Client implements the platform interfaces with rate limits, circuit breakers and the
// resolution of lost responses. It is safe for concurrent use.
type Client struct {
	settings Settings
	writes   *budget
	reads    *budget
	counters counters

	rawTable   platform.Table
	rawObjects platform.Objects
	rawVMList  platform.VMList
	table      *circuit
	objects    *circuit
	vmList     *circuit
}

// New returns a client for the three services. Close stops its probes.
func New(table platform.Table, objects platform.Objects, vmList platform.VMList, settings Settings) *Client {
	settings = settings.withDefaults()
	c := &Client{settings: settings, rawTable: table, rawObjects: objects, rawVMList: vmList}
	share := float64(settings.VMs)
	c.writes = newBudget(settings.WritesPerSecond/share, settings.UrgentWriteShare, settings.Burst)
	c.reads = newBudget(settings.ReadsPerSecond/share, settings.UrgentReadShare, settings.Burst)
	c.table = newCircuit("table", settings, &c.counters, c.probeTable)
	c.objects = newCircuit("objects", settings, &c.counters, c.probeObjects)
	c.vmList = newCircuit("vm list", settings, &c.counters, c.probeVMList)
	return c
}

// SetVMs sets the number of VMs that share the fleet's budget, as known to the membership.
func (c *Client) SetVMs(vms int) {
	share := float64(max(vms, 1))
	c.writes.setRate(c.settings.WritesPerSecond / share)
	c.reads.setRate(c.settings.ReadsPerSecond / share)
}

// Healthy reports whether the circuit of the table is closed.
func (c *Client) Healthy() bool { return c.table.healthy() }

// Close stops the probes. Operations still work.
func (c *Client) Close() {
	c.table.close()
	c.objects.close()
	c.vmList.close()
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.settings.Timeout)
}

// acquire waits for the budget of one operation. While the circuit is open it fails
// immediately: the operation will not be sent, so its failure must not wait for budget.
func (c *Client) acquire(ctx context.Context, b *budget, service *circuit, operation string) error {
	if !service.healthy() {
		return service.failFast(operation, errCircuitOpen)
	}
	if err := b.wait(ctx); err != nil {
		c.counters.throttled.Add(1)
		return &platform.UnavailableError{Operation: operation, Cause: err}
	}
	return nil
}

func (c *Client) probeTable(ctx context.Context) error {
	_, err := c.rawTable.Get(platform.WithPurpose(ctx, platform.PurposeProbe), probeKey)
	return err
}

func (c *Client) probeObjects(ctx context.Context) error {
	_, err := c.rawObjects.Fetch(ctx, probeObject)
	return err
}

func (c *Client) probeVMList(ctx context.Context) error {
	_, err := c.rawVMList.VMs(ctx)
	return err
}
