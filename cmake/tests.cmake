# One test program for each library: tests/src/<library>/unit-<subject>.cpp.

enable_testing()
add_custom_target(unit-tests)

# topaztack_test_program(LIBRARY [OTHER LIBRARIES])
function(topaztack_test_program library)
    file(GLOB sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/tests/src/${library}/unit-*.cpp")
    if(NOT sources)
        return()
    endif()
    add_executable(test-${library} ${sources} "${PROJECT_SOURCE_DIR}/tests/src/main.cpp")
    target_include_directories(test-${library} PRIVATE "${PROJECT_SOURCE_DIR}/tests/src")
    target_compile_definitions(test-${library} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED TOPAZTACK_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(test-${library} PRIVATE topaztack-${library} ${ARGN} PkgConfig::CPPUTEST rapidcheck)
    set_target_properties(test-${library} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
    add_dependencies(unit-tests test-${library})
    add_test(NAME unit-${library} COMMAND test-${library} -v)
    set_tests_properties(unit-${library} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()

foreach(library base policy samples control wire platform)
    topaztack_test_program(${library})
endforeach()
# Stand-ins of the platform's store and of backend servers.
file(GLOB standins CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/tests/src/standins/*.cpp")
add_library(test-standins STATIC ${standins})
target_include_directories(test-standins PUBLIC "${PROJECT_SOURCE_DIR}/tests/src")
target_link_libraries(test-standins PUBLIC topaztack-wire)
topaztack_test_program(node test-standins)
# A gateway is tested through the one protocol that there is.
topaztack_test_program(gateway topaztack-platform test-standins)
# A test stops and resumes a gateway that is a process of its own.
add_dependencies(test-gateway topaztackd)

# The fault soak runs these and topaztackd as processes: tests/soak/soak.
add_executable(soak-standin "${PROJECT_SOURCE_DIR}/tests/soak/standin.cpp")
target_include_directories(soak-standin PRIVATE "${PROJECT_SOURCE_DIR}/tests/src")
target_link_libraries(soak-standin PRIVATE test-standins CLI11::CLI11)
set_target_properties(soak-standin PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")

# Damaged inputs of every parser, a bounded number from a fixed seed.
file(GLOB fuzzers CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/tests/fuzzing/fuzz-*.cpp")
add_executable(test-fuzzing ${fuzzers} "${PROJECT_SOURCE_DIR}/tests/src/main.cpp")
target_compile_definitions(test-fuzzing PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED TOPAZTACK_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
target_link_libraries(test-fuzzing PRIVATE topaztack-node topaztack-platform PkgConfig::CPPUTEST)
set_target_properties(test-fuzzing PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
add_dependencies(unit-tests test-fuzzing)
add_test(NAME fuzzing COMMAND test-fuzzing -v)

file(GLOB functional CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/tests/functional/test_*.py")
foreach(script ${functional})
    get_filename_component(name "${script}" NAME_WE)
    string(REPLACE "test_" "functional-" name "${name}")
    add_test(NAME ${name} COMMAND python3 -B "${script}" -v WORKING_DIRECTORY "${PROJECT_SOURCE_DIR}")
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "TOPAZTACK_BIN=${PROJECT_BINARY_DIR}/bin" PROCESSORS 3 TIMEOUT 240)
endforeach()

# The examples of docs/LIBRARY.md: compiled and run; tests/src/node/unit-library_page.cpp compares them with the page.
file(GLOB examples CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/docs/examples/*.cpp")
foreach(source ${examples})
    get_filename_component(name "${source}" NAME_WE)
    add_executable(test-example-${name} "${source}")
    target_link_libraries(test-example-${name} PRIVATE topaztack-node)
    set_target_properties(test-example-${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
    add_test(NAME example-${name} COMMAND test-example-${name})
endforeach()
