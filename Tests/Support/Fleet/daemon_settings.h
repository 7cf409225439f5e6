// Generates the INI files for the daemons of a launched fleet.

#ifndef TESTS_SUPPORT_FLEET_DAEMON_SETTINGS_H_
#define TESTS_SUPPORT_FLEET_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "LibCore/socket_address.h"
#include "Tests/Support/Fleet/fleet_options.h"

namespace wasabi::support {

// The listening addresses of one daemon.
struct DaemonAddresses {
  core::SocketAddress http;
  core::SocketAddress link;
  core::SocketAddress gossip;

  auto operator<=>(const DaemonAddresses&) const = default;
};

// The values that the settings of every daemon must contain.
struct DaemonPlace {
  std::string host_id;
  std::string data_centre;
  DaemonAddresses addresses;
  core::SocketAddress platform;
  std::vector<core::SocketAddress> gossip_seeds;
};

// Returns the addresses as a comma-separated list.
std::string JoinAddresses(const std::vector<core::SocketAddress>& addresses);

// Returns the text of the INI file for a daemon at `place`. Values in
// `overrides` are added, and replace those derived from `place`.
std::string MakeDaemonSettings(const DaemonPlace& place,
                               const IniOverrides& overrides);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_DAEMON_SETTINGS_H_
