// Tests that the example settings of both deployments pass the checks of
// magnoliamilld and millctl.
#include "cluster/ChildProcess.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

using magnoliamill::tests::ChildProcess;

namespace {

namespace fs = std::filesystem;

const fs::path Examples = fs::path(MILL_SOURCE_DIR) / "examples";
const fs::path Binaries = MILL_BINARY_DIR;
const std::string AnyTokenHash(64, 'a');

int run(const std::vector<std::string> &command, const fs::path &log) {
  return ChildProcess(command, log).wait();
}

std::string readText(const fs::path &path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

TEST_CASE("The example settings of both deployments are valid", "[docs]") {
  auto deployment = GENERATE(std::string("brazos"), std::string("salzhof"));
  const fs::path folder = Binaries / "examples" / deployment;
  fs::remove_all(folder);
  fs::create_directories(folder);
  const fs::path log = folder / "check.log";
  const std::string millctl = Binaries / "apps/millctl/millctl";

  SECTION("the settings file of each VM") {
    REQUIRE(
        run({Examples / "make-vm-settings", Examples / deployment / "vms.tsv",
             folder / "vms", AnyTokenHash, "10.0.0.0/8"},
            log) == 0);
    int checked = 0;
    for (const auto &entry : fs::directory_iterator(folder / "vms")) {
      const std::string file = entry.path();
      INFO(file);
      int daemon = run({Binaries / "apps/magnoliamilld/magnoliamilld",
                        "--settings", file, "--check"},
                       log);
      int control = run({millctl, "check", file}, log);
      INFO(readText(log));
      REQUIRE(daemon == 0);
      REQUIRE(control == 0);
      ++checked;
    }
    // Each deployment has 10 to 12 VMs.
    REQUIRE(checked >= 10);
    REQUIRE(checked <= 12);
  }

  SECTION("the value of each service") {
    int checked = 0;
    for (const auto &entry :
         fs::directory_iterator(Examples / deployment / "services")) {
      const std::string path =
          "/teams/" + deployment + "/services/" + entry.path().stem().string();
      int status = run({millctl, "check", entry.path(), path}, log);
      INFO(path << "\n" << readText(log));
      REQUIRE(status == 0);
      ++checked;
    }
    REQUIRE(checked == 2);
  }
}
