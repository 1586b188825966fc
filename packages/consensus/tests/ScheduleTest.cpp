// The promises of the replicated log over many schedules of faults.
#include "Cluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill::consensus::tests;

TEST_CASE("Linearizability checker", "[consensus]") {}
