# Functions that define libraries, programs and tests. Every module has the same layout:
# public headers at its top level, the implementation in internal/, tests in tests/.

set(MILL_WARNINGS -Wall -Wextra -Wconversion -Werror)

# mill_add_module(NAME base SOURCES a.cpp ... DEPENDS other ...)
function(mill_add_module)
  cmake_parse_arguments(M "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_library(mill_${M_NAME} STATIC ${M_SOURCES})
  # Headers are included as "base/Result.h": the include root is packages/.
  target_include_directories(mill_${M_NAME} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  target_compile_options(mill_${M_NAME} PRIVATE ${MILL_WARNINGS})
  target_link_libraries(mill_${M_NAME} PUBLIC ${M_DEPENDS})
endfunction()

# mill_add_program(NAME millctl SOURCES main.cpp ... DEPENDS mill_base ...)
function(mill_add_program)
  cmake_parse_arguments(M "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${M_NAME} ${M_SOURCES})
  target_compile_options(${M_NAME} PRIVATE ${MILL_WARNINGS})
  target_link_libraries(${M_NAME} PRIVATE ${M_DEPENDS})
endfunction()

# mill_add_tests(NAME base SOURCES tests/a.cpp ... DEPENDS mill_base ...
#                [SERIAL] [TIMEOUT 300])
# Builds one Catch2 program; each of its test cases is a ctest test "NAME: case".
# SERIAL runs the tests one at a time, for tests that start processes and check times.
# TIMEOUT is in seconds for each test case (default 300).
if(BUILD_TESTING)
  include(Catch)
endif()
function(mill_add_tests)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(M "SERIAL" "NAME;TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT M_TIMEOUT)
    set(M_TIMEOUT 300)
  endif()
  set(M_RUN_SERIAL FALSE)
  if(M_SERIAL)
    set(M_RUN_SERIAL TRUE)
  endif()
  add_executable(${M_NAME}-tests ${M_SOURCES})
  target_compile_options(${M_NAME}-tests PRIVATE ${MILL_WARNINGS})
  target_compile_definitions(${M_NAME}-tests PRIVATE
    MILL_BINARY_DIR="${CMAKE_BINARY_DIR}" MILL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(${M_NAME}-tests PRIVATE ${M_DEPENDS} mill_catch_main
                                                ${MILL_RAPIDCHECK})
  # RapidCheck's seed is fixed so that results are reproducible in CI.
  catch_discover_tests(${M_NAME}-tests TEST_PREFIX "${M_NAME}: "
    PROPERTIES TIMEOUT ${M_TIMEOUT} RUN_SERIAL ${M_RUN_SERIAL}
               ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()
