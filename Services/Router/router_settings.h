// The settings of wasabi_router.

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

// The checked settings with their types.
struct RouterSettings {
  core::HostId host;
  core::DataCentreId data_centre;
  core::SocketAddress http_address;
  core::SocketAddress link_address;
  core::SocketAddress gossip_address;
  // Where others reach the listeners above: the same addresses, unless
  // something that forwards connections stands before them.
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
  // Names of mechanisms that a test switches off.
  std::set<std::string> disabled_mechanisms;

  bool IsDisabled(const std::string& mechanism) const {
    return disabled_mechanisms.contains(mechanism);
  }
};

// The declaration of every key.
std::vector<core::SettingSpec> RouterSettingsSchema();

// Reads and checks the file at `path`.
absl::StatusOr<RouterSettings> LoadRouterSettings(const std::string& path);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ROUTER_SETTINGS_H_
