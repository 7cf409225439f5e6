// The INI files of the daemons of a launched fleet.

#ifndef TESTS_SUPPORT_FLEET_DAEMON_SETTINGS_H_
#define TESTS_SUPPORT_FLEET_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "LibCore/socket_address.h"
#include "Tests/Support/Fleet/fleet_options.h"

namespace wasabi::support {

// The addresses of one daemon.
struct DaemonAddresses {
  core::SocketAddress http;
  core::SocketAddress link;
  core::SocketAddress gossip;

  auto operator<=>(const DaemonAddresses&) const = default;
};

// What every daemon's settings name.
struct DaemonPlace {
  std::string host_id;
  std::string data_centre;
  DaemonAddresses addresses;
  core::SocketAddress platform;
  std::vector<core::SocketAddress> gossip_seeds;
};

// The addresses as one text, separated by commas.
std::string JoinAddresses(const std::vector<core::SocketAddress>& addresses);

// The text of the INI file of a daemon at `place`; `overrides` add to it and
// replace its values.
std::string MakeDaemonSettings(const DaemonPlace& place,
                               const IniOverrides& overrides);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_DAEMON_SETTINGS_H_
