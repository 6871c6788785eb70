# Stateful property tests of a library with RapidCheck, and one mutant for each
# kind of fault that they must detect: a build with one passage of a source
# file replaced.

set(GW_FUZZ_SEEDS 1 2 3)

# gw_fuzz(NAME SOURCES... DEPS...): adds one ctest test for each seed, which
# runs the tests named Fuzz.*, and one that runs all others except Mutant.*.
function(gw_fuzz name)
	cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
	add_library(${name}_objects OBJECT ${ARG_SOURCES})
	target_link_libraries(${name}_objects PUBLIC ${ARG_DEPS}
		GTest::gtest GTest::gtest_main rapidcheck)
	add_executable(${name})
	target_link_libraries(${name} PRIVATE ${name}_objects)
	add_test(NAME ${name} COMMAND ${name}
		--gtest_filter=-Fuzz.*:Mutant.*)
	set_tests_properties(${name} PROPERTIES TIMEOUT 600)
	foreach(seed ${GW_FUZZ_SEEDS})
		add_test(NAME ${name}_seed${seed}
			COMMAND ${name} --gtest_filter=Fuzz.*)
		set_tests_properties(${name}_seed${seed} PROPERTIES
			TIMEOUT 600
			ENVIRONMENT "RC_PARAMS=seed=${seed} max_success=100")
	endforeach()
endfunction()

# gw_mutant(FUZZ MUTANT VIOLATION FILE FROM TO): builds FILE with the text FROM
# replaced by TO and expects the tests named Mutant.* to report VIOLATION.
function(gw_mutant fuzz mutant violation file from to)
	set(name ${fuzz}_mutant_${mutant})
	set(source ${CMAKE_SOURCE_DIR}/${file})
	get_filename_component(base ${file} NAME_WE)
	set(mutated ${CMAKE_CURRENT_BINARY_DIR}/${base}_${mutant}.c)
	set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
		${source})
	file(READ ${source} text)
	string(REPLACE "${from}" "${to}" changed "${text}")
	if(changed STREQUAL text)
		message(FATAL_ERROR
			"mutant ${name}: passage not found in ${file}: ${from}")
	endif()
	file(CONFIGURE OUTPUT ${mutated} CONTENT "${changed}" @ONLY)
	add_executable(${name} ${mutated})
	target_compile_options(${name} PRIVATE -Wno-error -w)
	target_link_libraries(${name} PRIVATE ${fuzz}_objects)
	add_test(NAME ${name} COMMAND ${name} --gtest_filter=Mutant.*)
	set_tests_properties(${name} PROPERTIES TIMEOUT 600
		ENVIRONMENT "VIOLATION=${violation}")
endfunction()
