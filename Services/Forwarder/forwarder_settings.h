// The settings of wasabi_router when it uses platform adapters instead of its
// own interface.

#ifndef SERVICES_FORWARDER_FORWARDER_SETTINGS_H_
#define SERVICES_FORWARDER_FORWARDER_SETTINGS_H_

#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/log.h"
#include "LibCore/settings.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibForwarding/cold_permits.h"
#include "LibForwarding/retry_allowance.h"
#include "LibHttp/buffer_memory.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarder {

struct ForwarderSettings {
  // Name of this daemon, unique in the fleet.
  core::HostId host;
  core::DataCentreId data_centre;
  // Capacity of this host's network link in Mbit/s.
  double link_mbps = 0;
  // What the process may take, in bytes, before the platform kills it.
  size_t memory_bytes = http::BufferMemory::kDefaultHostBytes;
  // The whole fleet starts for the first time.
  bool is_first_start = false;

  core::SocketAddress callers_address;
  core::SocketAddress ready_address;
  core::SocketAddress discovery_address;
  core::SocketAddress gossip_address;
  // Serves metrics, events, and copies of topics to other daemons.
  core::SocketAddress internal_address;
  core::SocketAddress platform_address;
  // Gossip addresses of hosts through which this host joins the fleet while the
  // platform is unreachable.
  std::vector<core::SocketAddress> seeds;

  // Maximum time from the moment an endpoint starts to leave until no host
  // sends it new requests.
  core::Duration leaving_bound{};
  // Maximum time from the moment a configuration is written until every host
  // uses it.
  core::Duration configuration_bound{};
  // Time from the stop signal until the process is killed.
  core::Duration shutdown_grace{};
  // Maximum time that callers may cache the addresses in a discovery response.
  core::Duration max_address_lifetime{};

  forwarding::RetryAllowancePolicy retries;
  // Maximum load of one endpoint, as a multiple of the mean load in its pool.
  double load_bound = 0;
  // What a cold endpoint may get from all hosts together within any second.
  forwarding::ColdPolicy cold;

  // Whether load control is on regardless of `contracts`.
  bool load_control_enabled = false;
  // The platform's list of contracts. Only its adapter interprets the terms.
  std::vector<std::string> contracts;

  core::LogLevel log_level = core::LogLevel::kNotice;
  // Number of events that the process keeps in memory.
  size_t event_capacity = 0;

  auto operator<=>(const ForwarderSettings&) const = default;
};

// Returns the declaration of every key.
std::vector<core::SettingSpec> ForwarderSettingsSchema();

// Reads and validates the file at `path`.
absl::StatusOr<ForwarderSettings> LoadForwarderSettings(
    const std::string& path);

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FORWARDER_SETTINGS_H_
