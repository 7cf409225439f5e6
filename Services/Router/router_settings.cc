#include "Services/Router/router_settings.h"

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::router {

namespace {

using core::SettingKind;
using core::SettingSpec;

constexpr size_t kMebibyte = 1U << 20U;

absl::Status CheckConsistency(const RouterSettings& it,
                              const std::string& path) {
  if (it.default_deadline > it.max_deadline) {
    return core::MakeStatus(
        core::ResultCode::kSettingsContradiction,
        fmt::format("{}: [limits] default_deadline_ms exceeds max_deadline_ms",
                    path));
  }
  if (it.http_address == it.link_address) {
    return core::MakeStatus(
        core::ResultCode::kSettingsContradiction,
        fmt::format("{}: [listen] http and link are the same address", path));
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<core::SocketAddress>> ParseSeeds(
    const std::vector<std::string>& texts) {
  std::vector<core::SocketAddress> seeds;
  seeds.reserve(texts.size());
  for (const std::string& text : texts) {
    TRY_ASSIGN(const core::SocketAddress seed,
               core::SocketAddress::Parse(text));
    seeds.push_back(seed);
  }
  return seeds;
}

// Parses `text`, or returns `listening` if it is empty.
absl::StatusOr<core::SocketAddress> ParseAdvertised(
    const std::string& text,
    const core::SocketAddress& listening) {
  if (text.empty()) {
    return listening;
  }
  return core::SocketAddress::Parse(text);
}

}  // namespace

std::vector<SettingSpec> RouterSettingsSchema() {
  constexpr double kHourMs = 3600000;
  return {
      {"host", "id", SettingKind::kText, std::nullopt, 0, 0,
       "Name of the daemon, unique in the fleet."},
      {"host", "data_centre", SettingKind::kText, std::nullopt, 0, 0,
       "Data centre in which the host runs."},
      {"listen", "http", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for callers and for metrics."},
      {"listen", "link", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address for calls from other daemons."},
      {"listen", "gossip", SettingKind::kAddress, std::nullopt, 0, 0,
       "UDP address for membership."},
      {"advertise", "http", SettingKind::kText, "", 0, 0,
       "Address announced to callers; empty to use [listen] http."},
      {"advertise", "link", SettingKind::kText, "", 0, 0,
       "Address announced to other daemons; empty to use [listen] link."},
      {"platform", "address", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address of the platform's services."},
      {"membership", "seeds", SettingKind::kText, "", 0, 0,
       "Gossip addresses to contact first, in addition to the host list."},
      {"limits", "max_body_bytes", SettingKind::kInteger, "4194304", 1024,
       268435456, "Largest request body, in bytes."},
      {"limits", "max_choices", SettingKind::kInteger, "9", 1, 64,
       "Runners of the preference order that a request tries."},
      {"limits", "default_deadline_ms", SettingKind::kInteger, "60000", 10,
       kHourMs, "Deadline of a request that names none, in milliseconds."},
      {"limits", "max_deadline_ms", SettingKind::kInteger, "600000", 10,
       kHourMs, "Longest deadline that a request may name, in milliseconds."},
      {"limits", "max_retries", SettingKind::kInteger, "4", 0, 16,
       "Most attempts after the first one of a request."},
      {"limits", "answer_lifetime_ms", SettingKind::kInteger, "30000", 0,
       kHourMs, "How long a finished answer can be fetched again."},
      {"limits", "answer_memory_mb", SettingKind::kInteger, "64", 1, 4096,
       "Memory for answers that can be fetched again, in MiB."},
      {"endpoints", "load_poll_ms", SettingKind::kInteger, "500", 20, 10000,
       "Period of the load reports of owned runners, in milliseconds."},
      {"endpoints", "silence_ms", SettingKind::kInteger, "1500", 50, 600000,
       "A stream without data for this long is picked up on a new connection, "
       "in milliseconds."},
      {"endpoints", "first_chunk_silence_ms", SettingKind::kInteger, "5000", 50,
       600000, "As silence_ms, before the first chunk."},
      {"endpoints", "host_list_ms", SettingKind::kInteger, "1000", 50, 60000,
       "Period of reading the platform's host list, in milliseconds."},
      {"callers", "host_answer_lifetime_ms", SettingKind::kInteger, "5000", 100,
       600000, "How long callers may keep the answer of GET /v1/hosts."},
      {"log", "level", SettingKind::kText, "notice", 0, 0,
       "off, notice (fleet events) or request (single requests too)."},
      {"log", "event_capacity", SettingKind::kInteger, "20000", 100, 1000000,
       "Events that the process keeps for the time line."},
      {"testing", "disabled_mechanisms", SettingKind::kText, "", 0, 0,
       "Mechanisms that a test switches off; empty in production."},
  };
}

absl::StatusOr<RouterSettings> LoadRouterSettings(const std::string& path) {
  TRY_ASSIGN(const core::Settings file,
             core::Settings::Load(path, RouterSettingsSchema()));
  const auto address = [&file](std::string_view section, std::string_view key) {
    return core::SocketAddress::Parse(file.Text(section, key));
  };
  RouterSettings it;
  it.host = core::HostId(file.Text("host", "id"));
  it.data_centre = core::DataCentreId(file.Text("host", "data_centre"));
  TRY_ASSIGN(it.http_address, address("listen", "http"));
  TRY_ASSIGN(it.link_address, address("listen", "link"));
  TRY_ASSIGN(it.gossip_address, address("listen", "gossip"));
  TRY_ASSIGN(it.advertised_http_address,
             ParseAdvertised(file.Text("advertise", "http"), it.http_address));
  TRY_ASSIGN(it.advertised_link_address,
             ParseAdvertised(file.Text("advertise", "link"), it.link_address));
  TRY_ASSIGN(it.platform_address, address("platform", "address"));
  TRY_ASSIGN(it.seeds, ParseSeeds(file.List("membership", "seeds")));
  it.max_body_bytes =
      static_cast<size_t>(file.Integer("limits", "max_body_bytes"));
  it.max_choices = static_cast<size_t>(file.Integer("limits", "max_choices"));
  it.default_deadline = file.Milliseconds("limits", "default_deadline_ms");
  it.max_deadline = file.Milliseconds("limits", "max_deadline_ms");
  it.max_retries = static_cast<uint32_t>(file.Integer("limits", "max_retries"));
  it.answer_lifetime = file.Milliseconds("limits", "answer_lifetime_ms");
  it.answer_memory_bytes =
      static_cast<size_t>(file.Integer("limits", "answer_memory_mb")) *
      kMebibyte;
  it.load_poll_period = file.Milliseconds("endpoints", "load_poll_ms");
  it.silence_limit = file.Milliseconds("endpoints", "silence_ms");
  it.first_chunk_silence_limit =
      file.Milliseconds("endpoints", "first_chunk_silence_ms");
  it.host_list_period = file.Milliseconds("endpoints", "host_list_ms");
  it.host_answer_lifetime =
      file.Milliseconds("callers", "host_answer_lifetime_ms");
  TRY_ASSIGN(it.log_level,
             core::ParseLogLevel(path, file.Text("log", "level")));
  it.event_capacity =
      static_cast<size_t>(file.Integer("log", "event_capacity"));
  for (const std::string& name : file.List("testing", "disabled_mechanisms")) {
    it.disabled_mechanisms.insert(name);
  }
  TRY(CheckConsistency(it, path));
  return it;
}

}  // namespace wasabi::router
