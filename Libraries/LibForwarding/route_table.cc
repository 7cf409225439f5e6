#include "LibForwarding/route_table.h"

#include <utility>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

std::string HostName(std::string_view host) {
  return core::ToLower(host.substr(0, host.find(':')));
}

// Returns `path` up to and including the last slash before `end`, or "" if
// there is none.
std::string_view ParentPrefix(std::string_view path, size_t end) {
  if (end == 0) {
    return {};
  }
  const size_t slash = path.rfind('/', end - 1);
  return slash == std::string_view::npos ? std::string_view()
                                         : path.substr(0, slash + 1);
}

}  // namespace

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view target) const {
  const auto prefixes = by_host_.find(HostName(host));
  if (prefixes == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(target);
  std::string_view prefix = ParentPrefix(path, path.size());
  while (!prefix.empty()) {
    const auto it = prefixes->second.find(std::string(prefix));
    if (it != prefixes->second.end()) {
      return &routes_[it->second];
    }
    prefix = ParentPrefix(path, prefix.size() - 1);
  }
  return nullptr;
}

const Organisation* RouteTable::FindOrganisation(
    std::string_view api_key) const {
  const auto it = organisation_by_key_.find(std::string(api_key));
  return it == organisation_by_key_.end() ? nullptr
                                          : &organisations_[it->second];
}

const Pool* RouteTable::FindPool(const core::PoolId& id) const {
  const auto it = pools_.find(id);
  return it == pools_.end() ? nullptr : &it->second;
}

RouteTableBuilder::RouteTableBuilder(int64_t version)
    : table_(new RouteTable()) {
  table_->version_ = version;
}

RouteTableBuilder& RouteTableBuilder::AddRoute(Route route) {
  route.host = core::ToLower(route.host);
  table_->by_host_[route.host][route.path_prefix] = table_->routes_.size();
  table_->routes_.push_back(std::move(route));
  return *this;
}

RouteTableBuilder& RouteTableBuilder::AddPool(Pool pool) {
  const core::PoolId id = pool.id;
  table_->pools_.insert_or_assign(id, std::move(pool));
  return *this;
}

RouteTableBuilder& RouteTableBuilder::AddOrganisation(
    Organisation organisation,
    const std::vector<std::string>& api_keys) {
  table_->has_organisations_ = true;
  for (const std::string& key : api_keys) {
    table_->organisation_by_key_[key] = table_->organisations_.size();
  }
  table_->organisations_.push_back(std::move(organisation));
  return *this;
}

RouteTableBuilder& RouteTableBuilder::RequireKeys() {
  table_->has_organisations_ = true;
  return *this;
}

RouteTableBuilder& RouteTableBuilder::SetCallerLimits(
    const http::CallerLimits& limits) {
  table_->caller_limits_ = limits;
  return *this;
}

RouteTableView RouteTableBuilder::Build() {
  return std::exchange(table_, nullptr);
}

}  // namespace wasabi::forwarding
