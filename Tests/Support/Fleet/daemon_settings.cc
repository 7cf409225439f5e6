#include "Tests/Support/Fleet/daemon_settings.h"

#include "LibCore/text.h"

namespace wasabi::support {

std::string JoinAddresses(const std::vector<core::SocketAddress>& addresses) {
  std::vector<std::string> texts;
  for (const core::SocketAddress& it : addresses) {
    texts.push_back(it.ToString());
  }
  return fmt::format("{}", fmt::join(texts, ","));
}

std::string MakeDaemonSettings(const DaemonPlace& place,
                               const IniOverrides& overrides) {
  IniOverrides values = {
      {"host", {{"id", place.host_id}, {"data_centre", place.data_centre}}},
      {"listen",
       {{"http", place.addresses.http.ToString()},
        {"link", place.addresses.link.ToString()},
        {"gossip", place.addresses.gossip.ToString()}}},
      {"platform", {{"address", place.platform.ToString()}}},
      {"membership", {{"seeds", JoinAddresses(place.gossip_seeds)}}},
  };
  for (const auto& [section, keys] : overrides) {
    for (const auto& [key, value] : keys) {
      values[section][key] = value;
    }
  }
  std::string text;
  for (const auto& [section, keys] : values) {
    text += fmt::format("[{}]\n", section);
    for (const auto& [key, value] : keys) {
      text += fmt::format("{} = {}\n", key, value);
    }
  }
  return text;
}

}  // namespace wasabi::support
