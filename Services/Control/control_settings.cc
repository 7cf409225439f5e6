#include "Services/Control/control_settings.h"

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::control {

namespace {

using core::SettingKind;
using core::SettingSpec;

absl::Status MakeContradiction(const std::string& path,
                               std::string_view message) {
  return core::MakeStatus(core::ResultCode::kSettingsContradiction,
                          fmt::format("{}: {}", path, message));
}

absl::Status CheckConsistency(const ControlSettings& it,
                              const std::string& path) {
  if (it.http_address == it.link_address) {
    return MakeContradiction(path,
                             "[listen] http and link are the same address");
  }
  if (it.orders.take_over_wait < it.orders.claim_freshness) {
    return MakeContradiction(
        path, "[orders] take_over_wait_ms is below claim_freshness_ms");
  }
  return absl::OkStatus();
}

void ReadOrderOptions(const core::Settings& file,
                      intent::OrderOptions* options) {
  options->loading_share = file.Real("orders", "loading_share");
  options->max_loads = static_cast<int>(file.Integer("orders", "max_loads"));
  options->claim_freshness = file.Milliseconds("orders", "claim_freshness_ms");
  options->take_over_wait = file.Milliseconds("orders", "take_over_wait_ms");
  options->read_back_period = file.Milliseconds("orders", "read_back_ms");
  options->load_timeout = file.Milliseconds("orders", "load_timeout_ms");
}

void ReadControlSection(const core::Settings& file, ControlSettings* it) {
  it->plan_lifetime = file.Milliseconds("control", "plan_lifetime_ms");
  it->confirm_timeout = file.Milliseconds("control", "confirm_timeout_ms");
  it->in_force_timeout = file.Milliseconds("control", "in_force_timeout_ms");
  it->host_list_period = file.Milliseconds("control", "host_list_ms");
  it->snapshot_records = file.Integer("control", "snapshot_records");
  it->snapshot_period = file.Milliseconds("control", "snapshot_period_ms");
  it->stop_timeout = file.Milliseconds("control", "stop_timeout_ms");
}

}  // namespace

std::vector<SettingSpec> ControlSettingsSchema() {
  constexpr double kHourMs = 3600000;
  constexpr double kDayMs = 24 * kHourMs;
  return {
      {"host", "id", SettingKind::kText, std::nullopt, 0, 0,
       "Name of the daemon, unique in the fleet."},
      {"host", "data_centre", SettingKind::kText, std::nullopt, 0, 0,
       "Data centre in which the host runs."},
      {"listen", "http", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for operators and for metrics."},
      {"listen", "link", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for calls from other daemons."},
      {"listen", "gossip", SettingKind::kAddress, std::nullopt, 0, 0,
       "UDP address for membership."},
      {"platform", "address", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address of the platform's services."},
      {"membership", "seeds", SettingKind::kText, "", 0, 0,
       "Gossip addresses to contact first, in addition to the host list."},
      {"control", "plan_lifetime_ms", SettingKind::kInteger, "900000", 1000,
       kDayMs, "How long a plan can be confirmed, in milliseconds."},
      {"control", "confirm_timeout_ms", SettingKind::kInteger, "5000", 100,
       60000,
       "How long a confirmation waits until its record is read back, in "
       "milliseconds."},
      {"control", "in_force_timeout_ms", SettingKind::kInteger, "5000", 0,
       60000,
       "How long a confirmation waits, after its record was read back, until "
       "every host applies it, in milliseconds."},
      {"control", "host_list_ms", SettingKind::kInteger, "1000", 50, 60000,
       "Period of reading the platform's host list, in milliseconds."},
      {"control", "snapshot_records", SettingKind::kInteger, "1000", 1, 1000000,
       "Records after which a snapshot is appended; well below the number "
       "that the log retains."},
      {"control", "snapshot_period_ms", SettingKind::kInteger, "600000", 100,
       kDayMs,
       "Time after which a snapshot is appended, in milliseconds; well below "
       "the time for which the log retains records."},
      {"control", "stop_timeout_ms", SettingKind::kInteger, "15000", 0, kHourMs,
       "How long a shutdown waits for requests in flight, in milliseconds."},
      {"orders", "loading_share", SettingKind::kReal, "0.34", 0, 1,
       "Largest share of a pool's endpoints that load at once; one endpoint "
       "may always load."},
      {"orders", "max_loads", SettingKind::kInteger, "4", 1, 1000,
       "Largest number of endpoints that load at once, over all pools of one "
       "holder."},
      {"orders", "claim_freshness_ms", SettingKind::kInteger, "1000", 100,
       60000,
       "Maximum time since the claims were last read when an order is sent, "
       "in milliseconds."},
      {"orders", "take_over_wait_ms", SettingKind::kInteger, "3000", 100,
       600000,
       "How long a new holder waits before it sends orders, in milliseconds."},
      {"orders", "read_back_ms", SettingKind::kInteger, "5000", 100, kHourMs,
       "Interval between reads of the state of endpoints, in milliseconds."},
      {"orders", "load_timeout_ms", SettingKind::kInteger, "600000", 1000,
       kDayMs,
       "Time after which an order whose load has not finished is sent "
       "again, in milliseconds."},
      {"log", "level", SettingKind::kText, "notice", 0, 0,
       "off, notice (fleet events) or request (single requests too)."},
      {"log", "event_capacity", SettingKind::kInteger, "20000", 100, 1000000,
       "Events that the process keeps for the time line."},
  };
}

absl::StatusOr<ControlSettings> LoadControlSettings(const std::string& path) {
  TRY_ASSIGN(const core::Settings file,
             core::Settings::Load(path, ControlSettingsSchema()));
  const auto address = [&file](std::string_view section, std::string_view key) {
    return core::SocketAddress::Parse(file.Text(section, key));
  };
  ControlSettings it;
  it.host = core::HostId(file.Text("host", "id"));
  it.data_centre = core::DataCentreId(file.Text("host", "data_centre"));
  TRY_ASSIGN(it.http_address, address("listen", "http"));
  TRY_ASSIGN(it.link_address, address("listen", "link"));
  TRY_ASSIGN(it.gossip_address, address("listen", "gossip"));
  TRY_ASSIGN(it.platform_address, address("platform", "address"));
  for (const std::string& text : file.List("membership", "seeds")) {
    TRY_ASSIGN(const core::SocketAddress seed,
               core::SocketAddress::Parse(text));
    it.seeds.push_back(seed);
  }
  ReadControlSection(file, &it);
  ReadOrderOptions(file, &it.orders);
  TRY_ASSIGN(it.log_level,
             core::ParseLogLevel(path, file.Text("log", "level")));
  it.event_capacity =
      static_cast<size_t>(file.Integer("log", "event_capacity"));
  TRY(CheckConsistency(it, path));
  return it;
}

}  // namespace wasabi::control
