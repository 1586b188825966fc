// Tests that the tables of the documentation pages match the code: result
// codes, metrics and settings fields.
#include "base/HttpStatus.h"
#include "base/ResultCode.h"
#include "gateway/HttpGateway.h"
#include "settings/Commands.h"
#include "settings/NodeSettings.h"
#include "settings/Schema.h"
#include "settings/SettingsPath.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

using namespace magnoliamill;

namespace {

namespace json = boost::json;
using Names = std::set<std::string>;

const std::filesystem::path Root = MILL_SOURCE_DIR;
const std::filesystem::path CodesPage = Root / "docs/RESULT-CODES.md";
const std::filesystem::path OperationsPage = Root / "docs/OPERATIONS.md";
constexpr std::string_view TableHead =
    "| code | name | meaning | status | outcome | exit code |\n"
    "|---|---|---|---|---|---|\n";

std::string readText(const std::filesystem::path &path) {
  std::ifstream in(path, std::ios::binary);
  REQUIRE(in);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// The first capture group of each match of \p pattern in \p text.
Names findAll(const std::string &text, const std::string &pattern) {
  Names found;
  std::regex regex(pattern);
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it)
    found.insert((*it)[1].str());
  return found;
}

std::string describeOutcome(const gateway::ApiReply &reply) {
  for (const auto &header : reply.Headers)
    if (header.Name == "Mill-Outcome")
      return header.Value;
  return "-";
}

std::string renderCodes() {
  std::string text(TableHead);
  for (const auto &info : base::allResultCodes()) {
    auto number = base::numberOf(info.Code);
    if (info.Code == base::ResultCode::Ok) {
      text +=
          fmt::format("| 0 | Ok | {} | 200 | answered | 0 |\n", info.Meaning);
      continue;
    }
    auto reply = gateway::renderFailure({info.Code, "", 0});
    text += fmt::format("| {} | {} | {} | {} | {} | {} |\n", number, info.Name,
                        info.Meaning, reply.Status, describeOutcome(reply),
                        number / 1000 * 10);
  }
  return text;
}

/// The concatenated C++ sources of packages/, apps/ and platform/, without
/// tests and without the generated Cap'n Proto files.
std::string readSources() {
  std::string all;
  for (const char *folder : {"packages", "apps", "platform"})
    for (const auto &entry :
         std::filesystem::recursive_directory_iterator(Root / folder)) {
      const auto &path = entry.path();
      bool source = path.extension() == ".cpp" || path.extension() == ".h";
      if (source && path.string().find("/tests/") == std::string::npos)
        all += readText(path);
    }
  return all;
}

/// The part of \p page from the line \p heading to the next heading.
std::string readSection(const std::string &page, const std::string &heading) {
  auto begin = page.find("\n" + heading + "\n");
  REQUIRE(begin != std::string::npos);
  begin += heading.size() + 1;
  return page.substr(begin, page.find("\n#", begin) - begin);
}

Names readFields(const std::string &page, const std::string &heading) {
  return findAll(readSection(page, heading),
                 R"(\n\| `([A-Za-z0-9_.\[\]]+)` \|)");
}

/// A document that holds only the field "a.b" or "a[].b", with a null value.
json::value makeDocument(const std::string &field) {
  auto dot = field.find('.');
  std::string name = field.substr(0, dot);
  json::value inner = nullptr;
  if (dot != std::string::npos)
    inner = makeDocument(field.substr(dot + 1));
  if (!name.ends_with("[]"))
    return json::object{{name, inner}};
  name.resize(name.size() - 2);
  return json::object{{name, json::array{inner}}};
}

bool hasNoUnknownField(const std::vector<settings::Fault> &faults) {
  return std::none_of(faults.begin(), faults.end(), [](const auto &fault) {
    return fault.Code == base::ResultCode::UnknownField;
  });
}

/// The names of all fields that the read* functions in \p sources read.
Names findFieldReads(const std::vector<std::string> &sources) {
  Names found;
  for (const auto &source : sources)
    found.merge(
        findAll(readText(Root / "packages/settings/internal" / source),
                R"rx(\bread[A-Z]\w*\(\s*(?:\w+,\s*)?"([a-z0-9_]+)")rx"));
  return found;
}

/// The last name of each dotted field, and the names of the objects that hold
/// them.
Names leafNames(const Names &fields) {
  Names last;
  for (const auto &field : fields) {
    auto name = field.substr(field.rfind('.') + 1);
    if (std::islower(static_cast<unsigned char>(name[0])))
      last.insert(name);
    // The object that holds the field is itself a field.
    if (auto dot = field.find_first_of(".["); dot != std::string::npos)
      last.insert(field.substr(0, dot));
  }
  return last;
}

} // namespace

TEST_CASE("The table of result codes on its page matches the code", "[docs]") {
  auto page = readText(CodesPage);
  auto begin = page.find(TableHead);
  REQUIRE(begin != std::string::npos);
  // If MILL_WRITE_PAGES is set, the page is updated first.
  if (std::getenv("MILL_WRITE_PAGES"))
    std::ofstream(CodesPage) << page.substr(0, begin) << renderCodes();
  REQUIRE(readText(CodesPage).substr(begin) == renderCodes());
}

TEST_CASE("A refused request has the HTTP status of its result code",
          "[docs]") {
  for (const auto &info : base::allResultCodes()) {
    INFO(info.Name);
    if (info.Code != base::ResultCode::Ok)
      REQUIRE(gateway::renderFailure({info.Code, "", 0}).Status ==
              base::httpStatusOf(info.Code));
  }
}

TEST_CASE("The operators' page lists exactly the metrics in the code",
          "[docs]") {
  auto code = findAll(readSources(), "\"(mill_[a-z0-9_]+)\"");
  auto page = findAll(readText(OperationsPage), R"(\n\| `(mill_[a-z0-9_]+)`)");
  REQUIRE(!code.empty());
  REQUIRE(page == code);
}

TEST_CASE("Every field of the daemon's settings file is on the page",
          "[docs]") {
  auto fields =
      readFields(readText(OperationsPage), "## The daemon's settings file");
  SECTION("each field on the page is accepted by the check") {
    for (const auto &field : fields) {
      INFO(field);
      auto text = json::serialize(makeDocument(field));
      REQUIRE(hasNoUnknownField(settings::checkNodeSettings(text).Faults));
    }
  }
  SECTION("each field that the check reads is on the page") {
    REQUIRE(leafNames(fields) ==
            findFieldReads({"NodeSettings.cpp", "VmFields.cpp"}));
  }
}

TEST_CASE("Every field of the settings tree is on the page", "[docs]") {
  auto page = readText(OperationsPage);
  Names all;
  for (const char *path :
       {"/admin/teams/TEAM", "/admin/vms/VM", "/admin/data_centres/DC",
        "/teams/TEAM/services/SERVICE", "/teams/TEAM/targets/SERVICE/NAME"}) {
    auto fields = readFields(page, fmt::format("### `{}`", path));
    REQUIRE(!fields.empty());
    for (const auto &field : fields) {
      INFO(path << " " << field);
      auto text = json::serialize(makeDocument(field));
      auto parsed = settings::parsePath(path);
      REQUIRE(parsed);
      REQUIRE(
          hasNoUnknownField(settings::checkValue(parsed.value(), text).Faults));
    }
    all.merge(leafNames(fields));
  }
  REQUIRE(all ==
          findFieldReads({"ServiceSchema.cpp", "Schema.cpp", "VmFields.cpp"}));
}
