// Turns the registrations that endpoints write into the table of endpoints.
// Pure state: time is handed in.

#ifndef LIBFORWARDING_ENDPOINT_REGISTRY_H_
#define LIBFORWARDING_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/registration.h"

namespace wasabi::forwarding {

// What a registration did.
enum class RegistryOutcome : uint8_t {
  kUnchanged,
  kChanged,
  // It was written before the present one and took effect late.
  kLate,
};

class EndpointRegistry {
 public:
  // `table` must outlive the registry.
  explicit EndpointRegistry(EndpointTable* table) : table_(table) {}

  // A registration was written. One that was written before the present one,
  // and took effect late, is ignored.
  RegistryOutcome Put(const Registration& registration, core::TimePoint now);

  // A registration has gone, or can't be read any more. With a `grace`, which
  // answers an outage of the platform in which living endpoints lapsed, it is
  // kept for that long in case it comes back. True when the table changed.
  bool Drop(const core::RunnerId& id,
            core::Duration grace,
            core::TimePoint now);

  // All present registrations; the others are dropped.
  void Replace(const std::vector<Registration>& registrations,
               core::Duration grace,
               core::TimePoint now);

  // Drops what was kept in grace and has not come back.
  void Expire(core::TimePoint now);

 private:
  struct Entry {
    Registration registration;
    bool is_present = true;
    // Not present: until when the endpoint stays in the table. Later the entry
    // only tells late writes from new ones.
    core::TimePoint usable_until{};
    core::TimePoint dropped_at{};
  };

  EndpointTable* const table_;
  std::map<core::RunnerId, Entry> entries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_REGISTRY_H_
