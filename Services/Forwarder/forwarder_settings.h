// The settings of wasabi_router where it forwards by a platform's protocols.

#ifndef SERVICES_FORWARDER_FORWARDER_SETTINGS_H_
#define SERVICES_FORWARDER_FORWARDER_SETTINGS_H_

#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/log.h"
#include "LibCore/settings.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibForwarding/retry_allowance.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarder {

struct ForwarderSettings {
  core::HostId host;
  core::DataCentreId data_centre;

  core::SocketAddress callers_address;
  core::SocketAddress ready_address;
  core::SocketAddress discovery_address;
  core::SocketAddress gossip_address;
  // For metrics, events, and copies of topics for other daemons.
  core::SocketAddress internal_address;
  core::SocketAddress platform_address;
  // Hosts to ask for the fleet while the platform can't be reached.
  std::vector<core::SocketAddress> seeds;

  // A leaving endpoint gets no new work after this time.
  core::Duration leaving_bound{};
  // A configuration is in force after this time.
  core::Duration configuration_bound{};
  // Time from the signal to stop until the process is killed.
  core::Duration shutdown_grace{};
  // Longest time for which callers may keep an answer with addresses.
  core::Duration max_address_lifetime{};

  forwarding::RetryAllowancePolicy retries;
  // Most load of one endpoint, as a multiple of its pool's mean.
  double load_bound = 0;

  core::LogLevel log_level = core::LogLevel::kNotice;
  size_t event_capacity = 0;

  auto operator<=>(const ForwarderSettings&) const = default;
};

// The declaration of every key.
std::vector<core::SettingSpec> ForwarderSettingsSchema();

// Reads and checks the file at `path`.
absl::StatusOr<ForwarderSettings> LoadForwarderSettings(
    const std::string& path);

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FORWARDER_SETTINGS_H_
