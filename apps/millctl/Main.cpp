// millctl, the operators' command line client for the control API.
#include "Commands.h"
#include "ExitCode.h"

#include <cstdlib>
#include <iostream>

using namespace magnoliamill::millctl;

int main(int argc, char **argv) {
  std::vector<std::string> arguments(argv + 1, argv + argc);
  const char *token = std::getenv("MILL_TOKEN");
  auto options = readOptions(arguments, token ? token : "");
  if (!options) {
    std::cerr << "millctl: " << options.error().Message
              << "\nnext: millctl --help\n";
    return ExitUsage;
  }
  ApiConfig config;
  config.Endpoints = options.value().Endpoints;
  config.Token = options.value().Token;
  config.Timeout = options.value().Timeout;
  ApiClient api(config, exchange);
  return runCommand({api, options.value(), std::cin, std::cout}, std::cerr);
}
