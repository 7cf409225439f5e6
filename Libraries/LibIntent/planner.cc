#include "LibIntent/planner.h"

#include <utility>
#include <variant>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"
#include "LibIntent/plan_effects.h"

namespace wasabi::intent {

namespace {

absl::Status MakeInvalid(std::string_view message) {
  return core::MakeStatus(core::ResultCode::kInvalidIntent, message);
}

bool IsAbsent(const ItemValue& value) {
  return std::holds_alternative<std::monostate>(value);
}

// Describes a change with its old and new value.
std::string Describe(const Change& change, const ItemValue& old_value) {
  const std::string item = change.item.ToString();
  const std::string new_text = DumpJson(ItemValueToJson(change.value));
  if (IsAbsent(change.value)) {
    return fmt::format("remove {}", item);
  }
  if (IsAbsent(old_value)) {
    return fmt::format("add {}: {}", item, new_text);
  }
  if (old_value == change.value) {
    return fmt::format("mark {} as changed", item);
  }
  return fmt::format("change {}: {} -> {}", item,
                     DumpJson(ItemValueToJson(old_value)), new_text);
}

// Builds one plan: records the base revisions and the changes.
class PlanBuilder {
 public:
  PlanBuilder(const PlanRequest& request, const ConfigurationFold& fold)
      : fold_(fold) {
    plan_.id = request.plan_id;
    plan_.operator_name = request.operator_name;
    plan_.revision = fold.revision();
  }

  const Configuration& configuration() const { return fold_.configuration(); }

  // Records that the plan requires `item` to have `value`. Adds a change only
  // if the value differs, but the base revision in any case, so that a
  // concurrent change of the item conflicts.
  void State(const ItemKey& item, const ItemValue& value) {
    plan_.base[item] = fold_.RevisionOf(item);
    if (ValueOf(configuration(), item) != value) {
      AddChange({item, value});
    }
  }

  // Adds a change of `item` even if its value stays the same, so that its
  // revision advances.
  void Touch(const ItemKey& item, const ItemValue& value) {
    plan_.base[item] = fold_.RevisionOf(item);
    AddChange({item, value});
  }

  bool has_changes() const { return !plan_.changes.empty(); }

  Plan Build(const PoolMembers& pools) {
    plan_.effects = EstimateEffects(plan_.changes, configuration(), pools);
    return std::move(plan_);
  }

 private:
  void AddChange(Change change) {
    plan_.words.push_back(
        Describe(change, ValueOf(configuration(), change.item)));
    plan_.changes.push_back(std::move(change));
  }

  const ConfigurationFold& fold_;
  Plan plan_;
};

// Removes the entries of `current` that are missing in `desired`. `item_of`
// returns the ItemKey of a map key.
template <typename Map, typename ItemOf>
void RemoveUnlisted(const Map& current,
                    const Map& desired,
                    ItemOf item_of,
                    PlanBuilder* builder) {
  for (const auto& [key, value] : current) {
    if (!desired.contains(key)) {
      builder->State(item_of(key), {});
    }
  }
}

absl::Status CheckOrganisations(const ApplyDeployment& intent,
                                const Configuration& configuration) {
  for (const auto& [id, organisation] : intent.deployment.organisations) {
    const ItemValue value =
        ValueOf(configuration, ItemKey::ForOrganisation(id));
    const auto* entry = std::get_if<OrganisationEntry>(&value);
    if (entry != nullptr && entry->deployment != intent.id) {
      return MakeInvalid(
          fmt::format("organisation {} already belongs to deployment {}",
                      id.value(), entry->deployment.value()));
    }
  }
  return absl::OkStatus();
}

// Visitor that adds the items of an intent to a plan.
struct IntentVisitor {
  PlanBuilder* builder;

  absl::Status operator()(const ApplyDeployment& it) const;
  absl::Status operator()(const SetLoadBound& it) const;
  absl::Status operator()(const SetOrganisation& it) const;
  absl::Status operator()(const SetDrain& it) const;
  absl::Status operator()(const SetWantedState& it) const;
};

absl::Status IntentVisitor::operator()(const ApplyDeployment& it) const {
  TRY(CheckOrganisations(it, builder->configuration()));
  const auto model_item = [&it](const std::string& name) {
    return ItemKey::ForModel(it.id, name);
  };
  const auto service_item = [&it](const std::string& name) {
    return ItemKey::ForService(it.id, name);
  };
  const auto found = builder->configuration().deployments.find(it.id);
  if (found != builder->configuration().deployments.end()) {
    const Deployment& current = found->second;
    RemoveUnlisted(current.models, it.deployment.models, model_item, builder);
    RemoveUnlisted(current.services, it.deployment.services, service_item,
                   builder);
    RemoveUnlisted(current.organisations, it.deployment.organisations,
                   &ItemKey::ForOrganisation, builder);
  }
  for (const auto& [name, model] : it.deployment.models) {
    builder->State(model_item(name), model);
  }
  for (const auto& [name, service] : it.deployment.services) {
    builder->State(service_item(name), service);
  }
  for (const auto& [id, organisation] : it.deployment.organisations) {
    builder->State(ItemKey::ForOrganisation(id),
                   OrganisationEntry{it.id, organisation});
  }
  const ItemKey whole = ItemKey::ForDeployment(it.id);
  if (builder->has_changes()) {
    builder->Touch(whole, DeploymentEntry());
  } else {
    builder->State(whole, DeploymentEntry());
  }
  return absl::OkStatus();
}

absl::Status IntentVisitor::operator()(const SetLoadBound& it) const {
  const ItemKey item = ItemKey::ForModel(it.deployment, it.model);
  ItemValue value = ValueOf(builder->configuration(), item);
  auto* model = std::get_if<ModelPool>(&value);
  if (model == nullptr) {
    return MakeInvalid(fmt::format("deployment {} has no model {}",
                                   it.deployment.value(), it.model));
  }
  model->load_bound = it.load_bound;
  builder->State(item, value);
  return absl::OkStatus();
}

absl::Status IntentVisitor::operator()(const SetOrganisation& it) const {
  const ItemKey item = ItemKey::ForOrganisation(it.organisation);
  ItemValue value = ValueOf(builder->configuration(), item);
  auto* entry = std::get_if<OrganisationEntry>(&value);
  if (entry == nullptr) {
    return MakeInvalid(
        fmt::format("organisation {} does not exist", it.organisation.value()));
  }
  Organisation& organisation = entry->organisation;
  organisation.weight = it.weight.value_or(organisation.weight);
  organisation.requests_per_second =
      it.requests_per_second.value_or(organisation.requests_per_second);
  builder->State(item, value);
  return absl::OkStatus();
}

absl::Status IntentVisitor::operator()(const SetDrain& it) const {
  ItemValue value;
  if (it.is_drained) {
    value = DrainEntry();
  }
  builder->State(ItemKey::ForDrain(it.endpoint), value);
  return absl::OkStatus();
}

absl::Status IntentVisitor::operator()(const SetWantedState& it) const {
  ItemValue value;
  if (it.state) {
    value = *it.state;
  }
  builder->State(ItemKey::ForWantedState(it.endpoint), value);
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Plan> MakePlan(const PlanRequest& request,
                              const ConfigurationFold& fold,
                              const PoolMembers& pools) {
  PlanBuilder builder(request, fold);
  TRY(std::visit(IntentVisitor{&builder}, request.intent));
  return builder.Build(pools);
}

}  // namespace wasabi::intent
