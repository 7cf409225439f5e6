#include "LibIntent/plan_effects.h"

#include <variant>

#include "LibCore/text.h"

namespace wasabi::intent {

namespace {

double Percent(double part, double whole) {
  constexpr double kHundred = 100;
  return whole > 0 ? kHundred * part / whole : 0;
}

// Collects the effects of the changes of one plan.
class Estimator {
 public:
  Estimator(const Configuration& configuration, const PoolMembers& pools)
      : configuration_(configuration), pools_(pools) {}

  void Estimate(const Change& change) {
    switch (change.item.kind) {
      case ItemKind::kModel:
        EstimateModel(change);
        break;
      case ItemKind::kOrganisation:
        EstimateOrganisation(change);
        break;
      case ItemKind::kDrain:
        EstimateDrain(change);
        break;
      case ItemKind::kWantedState:
        EstimateWantedState(change);
        break;
      case ItemKind::kService:
        EstimateService(change);
        break;
      case ItemKind::kDeployment:
        break;
    }
  }

  std::vector<std::string> Take() { return std::move(effects_); }

 private:
  void Add(std::string text) { effects_.push_back(std::move(text)); }

  void EstimateModel(const Change& change) {
    const std::string name = change.item.NameWithinDeployment();
    const ItemValue old_value = ValueOf(configuration_, change.item);
    const auto* old_model = std::get_if<ModelPool>(&old_value);
    const auto* model = std::get_if<ModelPool>(&change.value);
    if (model == nullptr) {
      Add(fmt::format(
          "requests for {} are refused because the model is unknown", name));
      return;
    }
    if (old_model == nullptr) {
      Add(fmt::format("{} starts with cold caches in the pool {}", name,
                      model->pool.value()));
      return;
    }
    if (old_model->pool != model->pool ||
        old_model->strategy != model->strategy) {
      Add(fmt::format(
          "up to 100.0 % of the chats of {} move and are prefilled again",
          name));
    }
    if (old_model->load_bound != model->load_bound) {
      Add(fmt::format(
          "each runner of {} runs up to ceil({:g} x mean) instead of "
          "ceil({:g} x mean) requests; no chat moves immediately, but a lower "
          "bound displaces more turns under load",
          model->pool.value(), model->load_bound, old_model->load_bound));
    }
  }

  void EstimateOrganisation(const Change& change) {
    const ItemValue old_value = ValueOf(configuration_, change.item);
    const auto* old_entry = std::get_if<OrganisationEntry>(&old_value);
    const auto* entry = std::get_if<OrganisationEntry>(&change.value);
    if (entry == nullptr) {
      Add(fmt::format(
          "requests of {} are refused because the organisation is unknown",
          change.item.name));
      return;
    }
    if (old_entry == nullptr ||
        old_entry->organisation.weight == entry->organisation.weight) {
      return;
    }
    const double others =
        SumOfWeights(entry->deployment) - old_entry->organisation.weight;
    const double old_weight = old_entry->organisation.weight;
    const double weight = entry->organisation.weight;
    Add(fmt::format(
        "the share of {} on a contended runner goes from {:.1f} % to {:.1f} %",
        change.item.name, Percent(old_weight, others + old_weight),
        Percent(weight, others + weight)));
  }

  double SumOfWeights(const core::DeploymentId& id) const {
    const auto it = configuration_.deployments.find(id);
    if (it == configuration_.deployments.end()) {
      return 0;
    }
    double sum = 0;
    for (const auto& [name, organisation] : it->second.organisations) {
      sum += organisation.weight;
    }
    return sum;
  }

  void EstimateDrain(const Change& change) {
    const core::PoolId pool = PoolOf(pools_, change.item.name);
    if (pool.empty()) {
      Add(fmt::format("{} is not in the host list; no chat moves now",
                      change.item.name));
      return;
    }
    const auto n =
        static_cast<double>(CountUndrained(pools_, pool, configuration_));
    if (std::holds_alternative<std::monostate>(change.value)) {
      Add(
          fmt::format("{:.1f} % of the chats of {} move to {} and are "
                      "prefilled again",
                      Percent(1, n + 1), pool.value(), change.item.name));
      return;
    }
    if (n <= 1) {
      Add(fmt::format("{} is the last endpoint of {}: its requests are refused",
                      change.item.name, pool.value()));
      return;
    }
    Add(
        fmt::format("{:.1f} % of the chats of {} move and are prefilled again; "
                    "the load on its {:.0f} other endpoints grows by {:.1f} %",
                    Percent(1, n), pool.value(), n - 1, Percent(1, n - 1)));
  }

  void EstimateWantedState(const Change& change) {
    if (std::holds_alternative<std::monostate>(change.value)) {
      Add(fmt::format("{} keeps its state and receives no more orders",
                      change.item.name));
      return;
    }
    const core::PoolId pool = PoolOf(pools_, change.item.name);
    const auto n =
        static_cast<double>(CountUndrained(pools_, pool, configuration_));
    Add(
        fmt::format("{} loses its cache while it loads: {:.1f} % of the chats "
                    "of {} are prefilled again",
                    change.item.name, Percent(1, n),
                    pool.empty() ? "its pool" : pool.value()));
  }

  void EstimateService(const Change& change) {
    if (std::holds_alternative<std::monostate>(change.value)) {
      Add(fmt::format("calls to {} are refused because the service is unknown",
                      change.item.NameWithinDeployment()));
    }
  }

  const Configuration& configuration_;
  const PoolMembers& pools_;
  std::vector<std::string> effects_;
};

}  // namespace

std::vector<std::string> EstimateEffects(const std::vector<Change>& changes,
                                         const Configuration& configuration,
                                         const PoolMembers& pools) {
  Estimator estimator(configuration, pools);
  for (const Change& change : changes) {
    estimator.Estimate(change);
  }
  return estimator.Take();
}

}  // namespace wasabi::intent
