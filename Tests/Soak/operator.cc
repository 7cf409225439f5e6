#include "Tests/Soak/operator.h"

#include <nlohmann/json.hpp>

#include "LibCore/text.h"
#include "platform/configuration_codec.h"

namespace wasabi::soak {

namespace {

using nlohmann::json;

const std::string kEvacuationKeyPrefix = "evacuate/";

json PlainRoute(const std::string& name,
                const std::string& kind,
                int attempts,
                const std::string& pool) {
  return {{"name", name},
          {"hostname", "soak.test"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", 1500},
          {"target_latency_ms", 150},
          {"attempts", attempts},
          {"priority", 1},
          {"service", pool}};
}

json StreamRoute(const std::string& name,
                 bool is_resumable,
                 const std::string& pool) {
  json route = PlainRoute(name, "streaming", is_resumable ? 2 : 1, pool);
  route["timeout_ms"] = 6000;
  route["target_latency_ms"] = 400;
  route["sticky"] = true;
  route["resumable"] = is_resumable;
  route["gap_aim_ms"] = 300;
  return route;
}

json LongStreamRoute() {
  json route = StreamRoute("long", false, kLongPool);
  route["timeout_ms"] = 12000;
  return route;
}

}  // namespace

std::string ReplacedKeyOf(int64_t version) {
  return fmt::format("replaced-{}", version);
}

void Operator::Configure() {
  // Versions increase, but are not consecutive.
  version_ += 1 + version_ % 3;
  const std::string moving_pool =
      history_->configurations.size() % 2 == 0 ? kPlainPool : kOtherPlainPool;
  const json configuration = {
      {"version", version_},
      {"routes",
       {PlainRoute("safe", "safe", 2, kPlainPool),
        PlainRoute("unsafe", "unsafe", 1, kPlainPool),
        PlainRoute("moving", "unsafe", 1, moving_pool),
        PlainRoute(fmt::format("added-{}", version_), "safe", 1, kPlainPool),
        StreamRoute("stream", true, kModelPool),
        StreamRoute("once", false, kModelPool), LongStreamRoute()}},
      {"services",
       {{{"name", kModelPool}, {"max_conns", 200}},
        {{"name", kLongPool}, {"max_conns", 200}},
        {{"name", kPlainPool}, {"max_conns", 200}},
        {{"name", kOtherPlainPool}, {"max_conns", 200}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1 << 22},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "t1"}, {"api_keys", {"key-1"}}},
        {{"name", "t2"}, {"api_keys", {ReplacedKeyOf(version_)}}}}}};
  newest_ = configuration.dump();
  Rewrite();
  history_->configurations.push_back({.version = version_,
                                      .moving_pool = core::PoolId(moving_pool),
                                      .acknowledged_at = loop_->Now()});
}

void Operator::Evacuate(const core::DataCentreId& data_centre) {
  if (!evacuated_.insert(data_centre).second) {
    return;
  }
  WriteEvacuation(data_centre, "{}");
  history_->evacuations.push_back(
      {.data_centre = data_centre, .from = loop_->Now(), .to = std::nullopt});
}

void Operator::EndEvacuation(const core::DataCentreId& data_centre) {
  evacuated_.erase(data_centre);
  WriteEvacuation(data_centre, std::nullopt);
  for (Evacuation& it : history_->evacuations) {
    if (it.data_centre == data_centre && !it.to) {
      it.to = loop_->Now();
    }
  }
}

void Operator::WriteEvacuation(const core::DataCentreId& data_centre,
                               std::optional<std::string> order) {
  log_->Append(adapter::kConfigurationTopic,
               kEvacuationKeyPrefix + data_centre.value(), std::move(order));
}

void Operator::Rewrite() {
  log_->Append(adapter::kConfigurationTopic, adapter::kConfigurationKey,
               newest_);
  for (const core::DataCentreId& it : evacuated_) {
    WriteEvacuation(it, "{}");
  }
}

}  // namespace wasabi::soak
