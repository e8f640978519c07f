package disktest

// Fill limits the bytes that may still be written to freeBytes; a negative value removes the limit.
func (d *Disk) Fill(freeBytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = max(freeBytes, unlimited)
}

// Fail makes every operation from now on fail with err; nil ends the failure.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = err
}

// FailFrom makes operations fail with err from the n-th on, counted from now. The returned function
// ends the failure and reports whether any operation failed.
func (d *Disk) FailFrom(n int, err error) (reached func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failFrom = d.operations + n
	d.failFromErr = err
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.failFromErr = nil
		return d.operations >= d.failFrom
	}
}

// Hang makes every operation wait until the returned function is called.
func (d *Disk) Hang() (release func()) {
	hang := make(chan struct{})
	d.mu.Lock()
	d.hang = hang
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		d.hang = nil
		d.mu.Unlock()
		close(hang)
	}
}

// OnOperation makes the disk call watch before each operation, with the operation's number; nil
// ends that. The disk is locked during the call: watch may call AfterCrash and no other method.
func (d *Disk) OnOperation(watch func(op int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onOperation = watch
}

// beginOperation counts an operation, waits while the disk hangs, and returns the error that the
// operation has to fail with. It returns with d.mu locked, also if it returns an error.
func (d *Disk) beginOperation() error {
	d.mu.Lock()
	if hang := d.hang; hang != nil {
		d.mu.Unlock()
		<-hang
		d.mu.Lock()
	}
	d.operations++
	if d.onOperation != nil {
		d.onOperation(d.operations)
	}
	if d.failFromErr != nil && d.operations >= d.failFrom {
		return d.failFromErr
	}
	return d.failure
}
