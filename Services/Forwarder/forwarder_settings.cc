#include "Services/Forwarder/forwarder_settings.h"

#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::forwarder {

namespace {

using core::SettingKind;
using core::SettingSpec;

// Returns the gossip addresses of the hosts in `texts`. The port in each text
// belongs to another service, so it is replaced by `gossip_port`.
absl::StatusOr<std::vector<core::SocketAddress>> ParseSeeds(
    const std::vector<std::string>& texts,
    uint16_t gossip_port) {
  std::vector<core::SocketAddress> seeds;
  for (const std::string& text : texts) {
    TRY_ASSIGN(const core::SocketAddress address,
               core::SocketAddress::Parse(text));
    seeds.push_back(core::SocketAddress(address.ip(), gossip_port));
  }
  return seeds;
}

}  // namespace

std::vector<SettingSpec> ForwarderSettingsSchema() {
  constexpr double kHourMs = 3600000;
  constexpr double kHourSeconds = 3600;
  return {
      {"interface", "adapter", SettingKind::kText, std::nullopt, 0, 0,
       "own, or platform to forward by the protocols of platform/."},
      {"host", "id", SettingKind::kText, std::nullopt, 0, 0,
       "Name of the daemon, unique in the fleet."},
      {"host", "data_centre", SettingKind::kText, std::nullopt, 0, 0,
       "Data centre in which the host runs."},
      {"host", "link_mbps", SettingKind::kReal, "20", 1, 1000000,
       "Capacity of the host's network link, in Mbit/s. Hosts with fast links "
       "are preferred for sharing the fleet's load."},
      {"host", "memory_mb", SettingKind::kInteger, "160", 1, 1048576,
       "Memory that the process may take, in MB. The buffers of slow and "
       "faulty "
       "peers take a quarter of it at most; new requests are refused then."},
      {"host", "first_start", SettingKind::kBoolean, "false", 0, 0,
       "Whether the whole fleet starts for the first time."},
      {"listen", "callers", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for callers."},
      {"listen", "ready", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for readiness checks."},
      {"listen", "discovery", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address that tells callers which hosts to use."},
      {"listen", "gossip", SettingKind::kAddress, std::nullopt, 0, 0,
       "UDP address for membership and reports between daemons."},
      {"listen", "internal", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for metrics, events, and copies of topics for daemons."},
      {"membership", "seeds", SettingKind::kText, "", 0, 0,
       "Hosts to ask for the fleet while the platform can't be reached; their "
       "gossip port is taken to be this host's."},
      {"platform", "address", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address of the platform's store."},
      {"platform", "contracts", SettingKind::kText, "", 0, 0,
       "The platform's list of contracts; its adapter switches on the "
       "behaviour "
       "that they ask for."},
      {"bounds", "leaving_ms", SettingKind::kReal, "2000", 100, kHourMs,
       "A leaving endpoint gets no new work after this time, in "
       "milliseconds."},
      {"bounds", "configuration_ms", SettingKind::kReal, "2000", 100, kHourMs,
       "A configuration is in force after this time, in milliseconds."},
      {"bounds", "shutdown_grace_s", SettingKind::kReal, "8", 0.5, kHourSeconds,
       "Time from the stop signal until the process is killed, in seconds."},
      {"bounds", "address_lifetime_s", SettingKind::kReal, "5", 0.1,
       kHourSeconds,
       "Longest time for which callers may keep addresses, in seconds."},
      {"bounds", "cold_factor", SettingKind::kReal, "1.5", 1, 100,
       "Requests that a cold endpoint may get within any second, as a multiple "
       "of the rate that it tolerates."},
      {"bounds", "cold_slack", SettingKind::kReal, "5", 0, 1000000,
       "Requests that a cold endpoint may get within any second besides those "
       "of cold_factor."},
      {"retries", "ratio", SettingKind::kReal, "0.1", 0, 10,
       "Retries per request that the fleet may send to a pool."},
      {"retries", "window_s", SettingKind::kReal, "10", 1, kHourSeconds,
       "Window in which retries are counted, in seconds."},
      {"retries", "slack", SettingKind::kReal, "10", 0, 1000000,
       "Retries per window that the fleet may send regardless of traffic."},
      {"placement", "load_bound", SettingKind::kReal, "2", 1, 100,
       "Maximum load of one endpoint, as a multiple of its pool's mean."},
      {"load_control", "enabled", SettingKind::kBoolean, "false", 0, 0,
       "Whether requests wait in an order that is fair among organisations, "
       "and refused callers get a paced time of return."},
      {"log", "level", SettingKind::kText, "request", 0, 0,
       "off, notice (fleet events) or request (single requests too)."},
      {"log", "event_capacity", SettingKind::kInteger, "5000", 100, 1000000,
       "Events that the process keeps for the time line."},
  };
}

absl::StatusOr<ForwarderSettings> LoadForwarderSettings(
    const std::string& path) {
  TRY_ASSIGN(const core::Settings file,
             core::Settings::Load(path, ForwarderSettingsSchema()));
  const auto address = [&file](std::string_view section, std::string_view key) {
    return core::SocketAddress::Parse(file.Text(section, key));
  };
  const auto seconds = [&file](std::string_view section, std::string_view key) {
    return core::FromSeconds(file.Real(section, key));
  };
  constexpr double kMillisecondsPerSecond = 1000;
  ForwarderSettings it;
  it.host = core::HostId(file.Text("host", "id"));
  it.data_centre = core::DataCentreId(file.Text("host", "data_centre"));
  it.link_mbps = file.Real("host", "link_mbps");
  constexpr size_t kBytesPerMegabyte = 1000000;
  it.memory_bytes = static_cast<size_t>(file.Integer("host", "memory_mb")) *
                    kBytesPerMegabyte;
  it.is_first_start = file.Boolean("host", "first_start");
  TRY_ASSIGN(it.callers_address, address("listen", "callers"));
  TRY_ASSIGN(it.ready_address, address("listen", "ready"));
  TRY_ASSIGN(it.discovery_address, address("listen", "discovery"));
  TRY_ASSIGN(it.gossip_address, address("listen", "gossip"));
  TRY_ASSIGN(it.internal_address, address("listen", "internal"));
  TRY_ASSIGN(it.platform_address, address("platform", "address"));
  TRY_ASSIGN(it.seeds, ParseSeeds(file.List("membership", "seeds"),
                                  it.gossip_address.port()));
  it.leaving_bound = core::FromSeconds(file.Real("bounds", "leaving_ms") /
                                       kMillisecondsPerSecond);
  it.configuration_bound = core::FromSeconds(
      file.Real("bounds", "configuration_ms") / kMillisecondsPerSecond);
  it.shutdown_grace = seconds("bounds", "shutdown_grace_s");
  it.max_address_lifetime = seconds("bounds", "address_lifetime_s");
  it.retries = {.ratio = file.Real("retries", "ratio"),
                .slack = file.Real("retries", "slack"),
                .window = seconds("retries", "window_s")};
  it.cold = {.factor = file.Real("bounds", "cold_factor"),
             .slack = file.Real("bounds", "cold_slack")};
  it.load_bound = file.Real("placement", "load_bound");
  it.load_control_enabled = file.Boolean("load_control", "enabled");
  it.contracts = file.List("platform", "contracts");
  TRY_ASSIGN(it.log_level,
             core::ParseLogLevel(path, file.Text("log", "level")));
  it.event_capacity =
      static_cast<size_t>(file.Integer("log", "event_capacity"));
  return it;
}

}  // namespace wasabi::forwarder
