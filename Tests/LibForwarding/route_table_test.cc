#include "LibForwarding/route_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace wasabi::forwarding {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

struct FindCase {
  const char* host;
  const char* target;
  // "" if no route is expected.
  const char* route;
};

TEST_CASE("the route with the longest prefix is found") {
  const RouteTableView table = RouteTableBuilder(1)
                                   .AddRoute(MakeRoute("root", "a.test", "/"))
                                   .AddRoute(MakeRoute("x", "a.test", "/x/"))
                                   .AddRoute(MakeRoute("xy", "a.test", "/x/y/"))
                                   .AddRoute(MakeRoute("b", "B.test", "/x/"))
                                   .Build();
  const FindCase cases[] = {
      {"a.test", "/x/y/z", "xy"},
      {"a.test", "/x/y", "x"},
      {"a.test", "/x/", "x"},
      {"a.test", "/xy/z", "root"},
      {"a.test", "/q?p=/x/y/", "root"},
      {"A.TEST:80", "/x/1", "x"},
      {"b.test", "/x/1", "b"},
      {"b.test", "/y/", ""},
      {"c.test", "/x/", ""},
      {"a.test", "", ""},
      {"", "/", ""},
  };
  for (const FindCase& row : cases) {
    INFO(row.host << row.target);
    const Route* route = table->FindRoute(row.host, row.target);
    CHECK((route == nullptr ? "" : route->name) == std::string(row.route));
  }
}

TEST_CASE("organisations are found by each of their API keys") {
  const RouteTableView table =
      RouteTableBuilder(1)
          .AddOrganisation({.id = core::OrganisationId("o"), .priority = {}},
                           {"k1", "k2"})
          .Build();
  CHECK(table->has_organisations());
  REQUIRE(table->FindOrganisation("k2") != nullptr);
  CHECK(table->FindOrganisation("k2")->id.value() == "o");
  CHECK(table->FindOrganisation("k3") == nullptr);
  CHECK(table->FindOrganisation("") == nullptr);
}

TEST_CASE("a table without organisations can still require API keys") {
  CHECK_FALSE(RouteTableBuilder(1).Build()->has_organisations());
  CHECK(RouteTableBuilder(1).RequireKeys().Build()->has_organisations());
}

}  // namespace
}  // namespace wasabi::forwarding
