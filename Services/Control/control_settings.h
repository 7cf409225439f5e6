// Declares, loads and validates the settings of wasabi_control.

#ifndef SERVICES_CONTROL_CONTROL_SETTINGS_H_
#define SERVICES_CONTROL_CONTROL_SETTINGS_H_

#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/log.h"
#include "LibCore/settings.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibIntent/order_controller.h"
#include "absl/status/statusor.h"

namespace wasabi::control {

// The validated settings, converted to their types.
struct ControlSettings {
  core::HostId host;
  core::DataCentreId data_centre;
  core::SocketAddress http_address;
  core::SocketAddress link_address;
  core::SocketAddress gossip_address;
  core::SocketAddress platform_address;
  std::vector<core::SocketAddress> seeds;

  core::Duration plan_lifetime{};
  core::Duration confirm_timeout{};
  core::Duration in_force_timeout{};
  core::Duration host_list_period{};
  int64_t snapshot_records = 0;
  core::Duration snapshot_period{};
  core::Duration stop_timeout{};
  intent::OrderOptions orders;

  core::LogLevel log_level = core::LogLevel::kNotice;
  size_t event_capacity = 0;
};

// Returns the declaration of every key.
std::vector<core::SettingSpec> ControlSettingsSchema();

// Loads and validates the file at `path`. Errors: those of
// core::Settings::Load, and kSettingsContradiction for values that don't fit
// together.
absl::StatusOr<ControlSettings> LoadControlSettings(const std::string& path);

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_CONTROL_SETTINGS_H_
