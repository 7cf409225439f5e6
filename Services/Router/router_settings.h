// Settings of wasabi_router: schema, parsing and validation.

#ifndef SERVICES_ROUTER_ROUTER_SETTINGS_H_
#define SERVICES_ROUTER_ROUTER_SETTINGS_H_

#include <set>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/log.h"
#include "LibCore/settings.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::router {

// Validated settings.
struct RouterSettings {
  core::HostId host;
  core::DataCentreId data_centre;
  core::SocketAddress http_address;
  core::SocketAddress link_address;
  core::SocketAddress gossip_address;
  // Addresses announced to callers and other daemons. They equal the listen
  // addresses unless a proxy forwards connections to the router.
  core::SocketAddress advertised_http_address;
  core::SocketAddress advertised_link_address;
  core::SocketAddress platform_address;
  std::vector<core::SocketAddress> seeds;

  size_t max_body_bytes = 0;
  size_t max_choices = 0;
  core::Duration default_deadline{};
  core::Duration max_deadline{};
  core::Duration answer_lifetime{};
  size_t answer_memory_bytes = 0;
  uint32_t max_retries = 0;

  core::Duration load_poll_period{};
  core::Duration silence_limit{};
  core::Duration first_chunk_silence_limit{};
  core::Duration host_list_period{};
  core::Duration host_answer_lifetime{};

  core::LogLevel log_level = core::LogLevel::kNotice;
  size_t event_capacity = 0;
  // Names of mechanisms that a test disables.
  std::set<std::string> disabled_mechanisms;

  bool IsDisabled(const std::string& mechanism) const {
    return disabled_mechanisms.contains(mechanism);
  }
};

// Returns the declarations of all settings.
std::vector<core::SettingSpec> RouterSettingsSchema();

// Loads and validates the file at `path`. Returns an error for an unreadable
// file, an invalid value or contradicting settings.
absl::StatusOr<RouterSettings> LoadRouterSettings(const std::string& path);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ROUTER_SETTINGS_H_
