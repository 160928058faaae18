package route

import (
	"crypto/hmac"
	"crypto/sha256"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
)

// NoPriority is the priority of a tenant whose requests have that of their route.
const NoPriority = -1

// Tenant is a client account. It is immutable.
type Tenant struct {
	name     string
	priority int
	rate     float64 // requests per second
	burst    float64 // requests
}

// NewTenant returns a tenant. Its requests are limited to rate requests per second and
// a burst of burst requests over all daemons; a rate of 0 means no limit.
func NewTenant(name string, priority int, rate, burst float64) *Tenant {
	return &Tenant{name: name, priority: priority, rate: rate, burst: burst}
}

// Name returns the name, which is passed to replicas.
func (t *Tenant) Name() string { return t.name }

// PriorityOn returns the priority of the tenant's requests on a route; 0 is the highest.
// Requests without a tenant, which is nil, have that of the route.
func (t *Tenant) PriorityOn(r *Route) int {
	if t == nil || t.priority == NoPriority {
		return r.Priority()
	}
	return t.priority
}

// Rate returns the limit of requests per second over all daemons, or 0 for no limit.
func (t *Tenant) Rate() float64 { return t.rate }

// Burst returns the number of requests that may exceed the rate at once.
func (t *Tenant) Burst() float64 { return t.burst }

// Limited reports whether the tenant's requests are limited.
func (t *Tenant) Limited() bool { return t.rate > 0 }

const (
	// maxTenantNameBytes bounds the names of tenants, which become header values.
	maxTenantNameBytes = 200
	// maxKeyBytes is the maximum length of a tenant's key. Longer keys match no tenant.
	maxKeyBytes = 4096
)

// validate returns ErrInvalid if a parameter is outside its range.
func (t *Tenant) validate() error {
	switch {
	case !isPrintable(t.name, maxTenantNameBytes):
		return errors.Wrapf(ErrInvalid, "tenant %.40q: name must be 1 to %d printable ASCII characters without spaces",
			t.name, maxTenantNameBytes)
	case t.priority < NoPriority:
		return errors.Wrapf(ErrInvalid, "tenant %q: priority %d must not be negative", t.name, t.priority)
	case !(t.rate >= 0 && !math.IsInf(t.rate, 0)), !(t.burst >= 0 && !math.IsInf(t.burst, 0)):
		return errors.Wrapf(ErrInvalid, "tenant %q: rate %v and burst %v must be finite numbers of at least 0",
			t.name, t.rate, t.burst)
	}
	return nil
}

// isPrintable reports whether text consists of 1 to limit printable ASCII characters
// without spaces.
func isPrintable(text string, limit int) bool {
	return text != "" && len(text) <= limit &&
		!strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// KeyHash identifies a key. It is kept and compared in place of the key, which cannot
// be derived from it.
type KeyHash [sha256.Size]byte

// KeyHasher computes the hashes of keys with a secret. Without it, the time of a lookup
// would tell callers how far a guessed key agrees with a valid one.
type KeyHasher struct{ secret []byte }

// NewKeyHasher returns a hasher. All tables of a daemon must share one secret, which
// must be random.
func NewKeyHasher(secret []byte) KeyHasher { return KeyHasher{secret: secret} }

// Hash returns the hash of a key.
func (h KeyHasher) Hash(key string) KeyHash {
	mac := hmac.New(sha256.New, h.secret)
	_, _ = mac.Write([]byte(key))
	return KeyHash(mac.Sum(nil))
}

// TenantKeys is a tenant with its keys.
type TenantKeys struct {
	Tenant *Tenant
	Keys   []string
}

// WithTenants returns a copy of the table with the given tenants. It returns ErrInvalid
// for an invalid tenant, a repeated name and a key that two tenants share; the error
// names no key. An empty or too long key matches no request and is ignored: were the
// configuration invalid, a key that it removes would stay in force. The table keeps only
// hashes of the keys.
func (t *Table) WithTenants(hasher KeyHasher, tenants []TenantKeys) (*Table, error) {
	copied := *t
	copied.hasher, copied.tenants = hasher, make(map[string]*Tenant, len(tenants))
	copied.tenantsByKey = make(map[KeyHash]*Tenant, len(tenants))
	for _, entry := range tenants {
		tenant := entry.Tenant
		if err := tenant.validate(); err != nil {
			return nil, err
		}
		if copied.tenants[tenant.name] != nil {
			return nil, errors.Wrapf(ErrInvalid, "tenant %q is defined twice", tenant.name)
		}
		copied.tenants[tenant.name] = tenant
		for _, key := range entry.Keys {
			hash, ok := copied.HashKey(key)
			if !ok {
				continue
			}
			if other := copied.tenantsByKey[hash]; other != nil && other != tenant {
				return nil, errors.Wrapf(ErrInvalid, "tenants %q and %q share a key", other.name, tenant.name)
			}
			copied.tenantsByKey[hash] = tenant
		}
	}
	return &copied, nil
}

// HasTenants reports whether the configuration has tenants, so that requests on routes
// that are not public need a key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// Tenants returns the tenants by name. The map must not be changed.
func (t *Table) Tenants() map[string]*Tenant { return t.tenants }

// HashKey returns the hash of a key, and false for a text that cannot be a key.
func (t *Table) HashKey(key string) (KeyHash, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return KeyHash{}, false
	}
	return t.hasher.Hash(key), true
}

// TenantOfHash returns the tenant with the key of the given hash.
func (t *Table) TenantOfHash(hash KeyHash) (*Tenant, bool) {
	tenant, ok := t.tenantsByKey[hash]
	return tenant, ok
}

// TenantOfKey returns the tenant with the given key.
func (t *Table) TenantOfKey(key string) (*Tenant, bool) {
	hash, ok := t.HashKey(key)
	if !ok {
		return nil, false
	}
	return t.TenantOfHash(hash)
}
