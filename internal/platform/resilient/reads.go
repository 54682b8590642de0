package resilient

import (
	"context"

	"geraniumcroft/internal/platform"
)

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return c.readRows(ctx, "get", func(ctx context.Context) ([]platform.Row, error) {
		return c.rawTable.Get(ctx, keys...)
	})
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	return c.readRows(ctx, "scan", func(ctx context.Context) ([]platform.Row, error) {
		return c.rawTable.Scan(ctx, from, to, limit)
	})
}

func (c *Client) readRows(ctx context.Context, operation string, read func(context.Context) ([]platform.Row, error)) ([]platform.Row, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.acquire(ctx, c.reads, c.table, operation); err != nil {
		return nil, err
	}
	var rows []platform.Row
	err := c.table.do(ctx, operation, func(ctx context.Context) error {
		c.counters.reads.Add(1)
		var err error
		rows, err = read(ctx)
		return err
	})
	return rows, err
}

// Put implements platform.Objects.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.acquire(ctx, c.writes, c.objects, "put object"); err != nil {
		return err
	}
	return c.objects.do(ctx, "put object", func(ctx context.Context) error { return c.rawObjects.Put(ctx, name, body) })
}

// Fetch implements platform.Objects.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.acquire(ctx, c.reads, c.objects, "fetch object"); err != nil {
		return nil, err
	}
	var body []byte
	err := c.objects.do(ctx, "fetch object", func(ctx context.Context) error {
		var err error
		body, err = c.rawObjects.Fetch(ctx, name)
		return err
	})
	return body, err
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.acquire(ctx, c.reads, c.vmList, "list VMs"); err != nil {
		return nil, err
	}
	var vms []platform.VM
	err := c.vmList.do(ctx, "list VMs", func(ctx context.Context) error {
		var err error
		vms, err = c.rawVMList.VMs(ctx)
		return err
	})
	return vms, err
}
