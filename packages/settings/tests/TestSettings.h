// Helpers that build commands and values for the tests of this module.
#pragma once

#include "settings/Commands.h"
#include "settings/StateMachine.h"

#include <fmt/format.h>
#include <string>

namespace magnoliamill::settings::tests {

constexpr const char *Barnstock = "/teams/salzhof/services/barnstock";

inline std::string keyedService(std::uint32_t slots = 6,
                                std::string_view centres = R"("basel")") {
  return fmt::format(R"({{"keyed":true,"slots":{},"data_centres":[{}]}})",
                     slots, centres);
}

inline ChangeOrigin origin(std::string id, std::string who = "team/salzhof") {
  return {std::move(id), std::move(who), 1700000000000};
}

inline VmView vm(std::string name, std::string centre, std::uint16_t port) {
  return {base::VmId(std::move(name)),
          base::DataCentreId(std::move(centre)),
          "127.0.0.1",
          port,
          static_cast<std::uint16_t>(port + 1),
          true};
}

/// A state machine and the log index of its last command.
struct TestStateMachine {
  StateMachine Settings;
  consensus::LogIndex Index = 0;

  ChangeOutcome run(const Command &command) {
    return decodeOutcome(Settings.apply(++Index, encodeCommand(command)))
        .value();
  }
  ChangeOutcome set(std::string path, std::string value, std::uint64_t version,
                    std::string id) {
    return run(SetValue{origin(std::move(id)), std::move(path),
                        std::move(value), version});
  }
  /// Registers one VM each in basel, chur and genf.
  void bootstrap() {
    run(BootstrapVms{1,
                     {vm("b1", "basel", 1000), vm("c1", "chur", 1010),
                      vm("g1", "genf", 1020)}});
  }
};

} // namespace magnoliamill::settings::tests
