package describer

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPU          int64 `json:"cpu"`          // millicores
	Memory       int64 `json:"memory"`       // MiB
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Max returns the larger one of each component of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether no component of r exceeds that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// Positive returns r with negative components set to zero.
func (r Resources) Positive() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.Accelerators, 0)}
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// IsValid reports whether no component is negative and one is positive.
func (r Resources) IsValid() bool {
	return r.CPU >= 0 && r.Memory >= 0 && r.Accelerators >= 0 && !r.IsZero()
}
