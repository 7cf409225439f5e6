// Maintains the endpoint table from the registrations that endpoints write.
// Performs no I/O; the caller passes in the time.

#ifndef LIBFORWARDING_ENDPOINT_REGISTRY_H_
#define LIBFORWARDING_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "LibForwarding/cold_endpoints.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/registration.h"

namespace wasabi::forwarding {

// Effect of a registration.
enum class RegistryOutcome : uint8_t {
  kUnchanged,
  kChanged,
  // The registration was written before the current one but took effect after
  // it, so it was ignored.
  kLate,
};

class EndpointRegistry {
 public:
  // `table` and `cold` must outlive the registry. `cold` is told of the
  // registrations that count; it may be nullptr.
  explicit EndpointRegistry(EndpointTable* table, ColdEndpoints* cold = nullptr)
      : table_(table), cold_(cold) {}

  // Applies a registration. Ignores it if it was written before the current one
  // but took effect after it.
  RegistryOutcome Put(const Registration& registration, core::TimePoint now);

  // Handles a registration that was removed or can no longer be read. With a
  // nonzero `grace`, the endpoint stays in the table for this time in case its
  // registration reappears; this covers platform outages in which registrations
  // of running endpoints expire. Returns whether the table changed.
  bool Drop(const core::RunnerId& id,
            core::Duration grace,
            core::TimePoint now);

  // Replaces all registrations. Drops those that are not in `registrations`,
  // with the given `grace`.
  void Replace(const std::vector<Registration>& registrations,
               core::Duration grace,
               core::TimePoint now);

  // Removes the endpoints whose grace period has ended without a new
  // registration, and the tombstones that are no longer needed.
  void Expire(core::TimePoint now);

 private:
  struct Entry {
    Registration registration;
    bool is_present = true;
    // If not present: the end of the grace period, until which the endpoint
    // stays in the table. Afterwards the entry is a tombstone that only serves
    // to distinguish late writes from new ones.
    core::TimePoint usable_until{};
    core::TimePoint dropped_at{};
  };

  EndpointTable* const table_;
  ColdEndpoints* const cold_;
  // Whether Replace has been called, and whether its first call is running.
  bool has_snapshot_ = false;
  bool is_first_snapshot_ = false;
  std::map<core::RunnerId, Entry> entries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_REGISTRY_H_
