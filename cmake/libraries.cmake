# One target for each library: topaztack_library(NAME [DEPENDS ...]) takes src/NAME/**.cpp.

function(topaztack_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/src/${name}/*.cpp")
    add_library(topaztack-${name} STATIC ${sources})
    target_include_directories(topaztack-${name} PUBLIC "${PROJECT_SOURCE_DIR}/include")
    target_link_libraries(topaztack-${name} PUBLIC ${ARG_DEPENDS})
endfunction()

topaztack_library(base DEPENDS Boost::headers Boost::json Boost::log Threads::Threads PkgConfig::URCU)
topaztack_library(policy DEPENDS topaztack-base)
topaztack_library(samples DEPENDS topaztack-base)
topaztack_library(control DEPENDS topaztack-base)
topaztack_library(wire DEPENDS topaztack-base topaztack-control topaztack-samples OpenSSL::SSL OpenSSL::Crypto PkgConfig::THRIFT)
topaztack_library(node DEPENDS topaztack-policy topaztack-samples topaztack-control topaztack-wire)
